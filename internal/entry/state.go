package entry

import (
	"context"
	"encoding/json"
	"net"
	"sort"
	"strconv"

	"github.com/valyala/fasthttp"

	"github.com/sequoiapick/sequoiapick/internal/dispatch"
	"github.com/sequoiapick/sequoiapick/internal/event"
	"github.com/sequoiapick/sequoiapick/internal/metric"
)

// StatePath is where the state of an entry host is read; MetricsPath its metrics.
const (
	StatePath   = "/state"
	MetricsPath = "/metrics"
)

// State is what a daemon believes.
type State struct {
	Host        string
	DataCentre  string
	Incarnation string
	Ready       bool
	Stopping    bool
	Leader      string
	// Version is the configuration in force.
	Version     int64
	Connections int
	// Requests is the number of requests whose stages this daemon decides on.
	Requests     int
	LinesDropped int64
	Tables       []TableState
	Members      []MemberState
	Services     []dispatch.ServiceState
	Targets      []TargetState
}

// TableState is a copy of a table of the platform's store.
type TableState struct {
	Name      string
	Version   int64
	AgeMillis int64
}

// MemberState is another daemon.
type MemberState struct {
	Host       string
	DataCentre string
	Hub        bool
	Linked     bool
	Alive      bool
	Term       uint64
}

// TargetState is a target as this daemon sees it.
type TargetState struct {
	ID         string
	Service    string
	DataCentre string
	Address    string
	Draining   bool
	Cold       bool
	Out        bool
	Cut        bool
	Suspect    bool
	Replaced   bool
}

// State returns what the daemon believes now.
func (h *Daemon) State() State {
	s := State{
		Host:         h.settings.Host,
		DataCentre:   h.settings.DataCentre,
		Incarnation:  h.incarnation,
		Ready:        h.isReady(),
		Stopping:     h.stopping.Load(),
		Leader:       h.mesh.Leader(),
		Version:      h.version(),
		Connections:  h.front.OpenConnections(),
		LinesDropped: h.droppedLines(),
	}
	s.Services, s.Requests = h.scheduler.State()
	for name, r := range h.readers {
		version, age := r.state()
		s.Tables = append(s.Tables, TableState{Name: name, Version: version, AgeMillis: age.Milliseconds()})
	}
	sort.Slice(s.Tables, func(i, j int) bool { return s.Tables[i].Name < s.Tables[j].Name })
	for _, m := range h.mesh.State() {
		s.Members = append(s.Members, MemberState{Host: m.Host, DataCentre: m.DataCentre, Hub: m.Hub, Linked: m.Linked, Alive: m.Alive, Term: m.Term})
	}
	for _, t := range h.inventory.Targets("") {
		s.Targets = append(s.Targets, TargetState{
			ID: t.ID, Service: t.Service, DataCentre: t.DataCentre, Address: t.Address,
			Draining: t.Draining, Cold: t.Cold, Out: t.DataCentreOut, Cut: t.Unreachable, Suspect: t.Suspect, Replaced: t.Replaced,
		})
	}
	return s
}

func (h *Daemon) droppedLines() int64 {
	if h.DroppedLogLines == nil {
		return 0
	}
	return h.DroppedLogLines()
}

// serveState serves metrics and the state.
func (h *Daemon) serveState(ctx context.Context) error {
	if h.MetricsPort == 0 {
		return nil
	}
	listener, err := net.Listen("tcp", net.JoinHostPort(h.settings.IP, strconv.Itoa(h.MetricsPort)))
	if err != nil {
		// Clients are served without metrics rather than not at all.
		h.log.Emit(event.StepFailed, "Step", "listen for metrics", "Reason", err.Error())
		return nil
	}
	metrics := h.metrics.Handler()
	server := &fasthttp.Server{
		NoDefaultServerHeader: true,
		Handler: func(c *fasthttp.RequestCtx) {
			switch string(c.Path()) {
			case MetricsPath:
				metrics(c)
			case StatePath:
				body, err := json.Marshal(h.State())
				if err != nil {
					c.Error(err.Error(), fasthttp.StatusInternalServerError)
					return
				}
				c.SetContentType("application/json")
				c.SetBody(body)
			default:
				c.SetStatusCode(fasthttp.StatusNotFound)
			}
		},
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Shutdown() })
	defer stop()
	return server.Serve(listener)
}

// gauges are the values of the state that are read with the metrics.
func (s State) gauges() []metric.Gauge {
	perService := func(value func(dispatch.ServiceState) float64) map[string]float64 {
		values := map[string]float64{}
		for _, st := range s.Services {
			values[st.Service] = value(st)
		}
		return values
	}
	ages := map[string]float64{}
	for _, t := range s.Tables {
		ages[t.Name] = float64(t.AgeMillis) / 1000
	}
	targets := map[string]float64{}
	for _, t := range s.Targets {
		targets[t.state()]++
	}
	alive := 0.0
	for _, m := range s.Members {
		if m.Alive {
			alive++
		}
	}
	leads := 0.0
	if s.Leader == s.Host {
		leads = 1
	}
	one := func(v float64) map[string]float64 { return map[string]float64{"": v} }
	return []metric.Gauge{
		{Name: "SequoiapickWaitingPieces", Description: "pieces that wait, by service", Attribute: "Service", Values: perService(func(st dispatch.ServiceState) float64 { return float64(st.Waiting) })},
		{Name: "SequoiapickRunningPieces", Description: "pieces in calls, by service", Attribute: "Service", Values: perService(func(st dispatch.ServiceState) float64 { return float64(st.Running) })},
		{Name: "SequoiapickPressure", Description: "demand over what the targets can do, by service", Attribute: "Service", Values: perService(func(st dispatch.ServiceState) float64 { return st.Pressure })},
		{Name: "SequoiapickBeliefAgeSeconds", Description: "age of the copies of the platform's tables", Attribute: "Table", Values: ages},
		{Name: "SequoiapickTargets", Description: "targets by state", Attribute: "State", Values: targets},
		{Name: "SequoiapickMembersAlive", Description: "other daemons that answer", Values: one(alive)},
		{Name: "SequoiapickLeads", Description: "1 on the daemon that leads", Values: one(leads)},
		{Name: "SequoiapickConfigurationVersion", Description: "the configuration in force", Values: one(float64(s.Version))},
		{Name: "SequoiapickConnections", Description: "connections of clients", Values: one(float64(s.Connections))},
		{Name: "SequoiapickLinesDropped", Description: "log lines dropped", Values: one(float64(s.LinesDropped))},
	}
}

// state names the first thing that keeps work away from the target.
func (t TargetState) state() string {
	for _, s := range []struct {
		is   bool
		name string
	}{{t.Draining, "Draining"}, {t.Out, "Out"}, {t.Cut, "Cut"}, {t.Suspect, "Suspect"}, {t.Cold, "Cold"}, {t.Replaced, "Replaced"}} {
		if s.is {
			return s.name
		}
	}
	return "Usable"
}
