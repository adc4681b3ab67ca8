package entry

import (
	"context"
	"encoding/json"
	"math"
	"net"
	"sort"
	"strconv"

	"github.com/valyala/fasthttp"

	"github.com/sequoiapick/sequoiapick/internal/dispatch"
	"github.com/sequoiapick/sequoiapick/internal/event"
	"github.com/sequoiapick/sequoiapick/internal/memory"
	"github.com/sequoiapick/sequoiapick/internal/metric"
	"github.com/sequoiapick/sequoiapick/internal/quarantine"
)

// The paths on the metrics port of an entry host.
const (
	// StatePath serves a State as JSON.
	StatePath = "/state"
	// MetricsPath serves the metrics in the Prometheus format.
	MetricsPath = "/metrics"
)

// State is a daemon's view of itself and of the cluster.
type State struct {
	Host        string
	DataCentre  string
	Incarnation string
	// Ready is what the daemon answers to readiness checks of the load balancer.
	Ready    bool
	Stopping bool
	// Leader is the host of the leader, empty if there is none.
	Leader string
	// Version is the version of the configuration in use, 0 if there is none.
	Version int64
	// Connections is the number of open client connections.
	Connections int
	// Requests is the number of requests whose stages this daemon schedules.
	Requests int
	// LinesDropped is the number of log lines dropped so far.
	LinesDropped int64
	// Memory is what the daemon holds for clients, targets and links. It is zero unless the contract on
	// pressure is in force.
	Memory   memory.State
	Tables   []TableState
	Members  []MemberState
	Services []dispatch.ServiceState
	Targets  []TargetState
	// Quarantined are the parts of prompts with which no request is sent to a target.
	Quarantined []quarantine.Cause
	// Rollouts are the rollouts that operators have ordered.
	Rollouts []RolloutState `json:",omitempty"`
}

// TableState describes the daemon's copy of a table of the platform's store.
type TableState struct {
	Name    string
	Version int64
	// AgeMillis is the time since the copy was last confirmed to be complete.
	AgeMillis int64
}

// MemberState is the state of another daemon, see cluster.MemberState.
type MemberState struct {
	Host       string
	DataCentre string
	Hub        bool
	Linked     bool
	Alive      bool
	Term       uint64
}

// TargetState is the state of a target as seen by this daemon, see inventory.Target.
type TargetState struct {
	ID         string
	Service    string
	DataCentre string
	Address    string
	Draining   bool
	Cold       bool
	// Out means that the target's data centre is taken out of service.
	Out bool
	// Cut means that the target's data centre can't be reached from this one.
	Cut      bool
	Suspect  bool
	Replaced bool
	// Unconfirmed means that the target had ended before the store was restored.
	Unconfirmed bool
	// PacePercent is the expected pace of the target's machine, 100 is usual; 0 if none was reported lately.
	PacePercent int
	// Version is the version of the target's software. Withheld means that it is new for its service, and
	// that this daemon may not know the order of a rollout to it.
	Version  string
	Withheld bool
	// Limit is the rate limit that the target names, nil if it names none.
	Limit *LimitState `json:",omitempty"`
}

// LimitState is the rate limit of a target as this daemon knows it, see targetlimit.Limit.
type LimitState struct {
	// PerSecond is the limit, SharePerSecond the part of it that this daemon uses, in requests per second.
	PerSecond, SharePerSecond float64
	// SinceMillis is the time since the limit was first named, NamedMillis that since it was last named.
	SinceMillis, NamedMillis int64
	// Source is the host that received the first answer with this rate.
	Source string
}

// State returns the daemon's current state.
func (d *Daemon) State() State {
	s := State{
		Host:         d.settings.Host,
		DataCentre:   d.settings.DataCentre,
		Incarnation:  d.incarnation,
		Ready:        d.isReady(),
		Stopping:     d.stopping.Load(),
		Leader:       d.mesh.Leader(),
		Version:      d.configurationVersion(),
		Connections:  d.ingress.OpenConnections(),
		LinesDropped: d.droppedLogLines(),
		Memory:       d.memory.State(),
	}
	s.Services, s.Requests = d.scheduler.State()
	s.Quarantined = d.quarantine.tracker.Held()
	s.Rollouts = d.rollouts.states()
	for name, r := range d.tableReaders {
		version, age := r.versionAndAge()
		s.Tables = append(s.Tables, TableState{Name: name, Version: version, AgeMillis: age.Milliseconds()})
	}
	sort.Slice(s.Tables, func(i, j int) bool { return s.Tables[i].Name < s.Tables[j].Name })
	for _, m := range d.mesh.State() {
		s.Members = append(s.Members, MemberState{Host: m.Host, DataCentre: m.DataCentre, Hub: m.Hub, Linked: m.Linked, Alive: m.Alive, Term: m.Term})
	}
	now := d.Clock.Now()
	for _, t := range d.inventory.Targets("") {
		pace, _ := d.loads.table.Pace(now, t.ID, t.StartUnixMillis)
		s.Targets = append(s.Targets, TargetState{
			ID: t.ID, Service: t.Service, DataCentre: t.DataCentre, Address: t.Address,
			Draining: t.Draining, Cold: t.Cold, Out: t.DataCentreOut, Cut: t.Unreachable, Suspect: t.Suspect, Replaced: t.Replaced, Unconfirmed: t.Unconfirmed, Version: t.Version, Withheld: t.Withheld,
			PacePercent: int(math.Round(100 * pace)),
			Limit:       d.limitTable.state(now, t),
		})
	}
	return s
}

func (d *Daemon) droppedLogLines() int64 {
	if d.DroppedLogLines == nil {
		return 0
	}
	return d.DroppedLogLines()
}

// serveState serves metrics and the state on the metrics port, if one is set.
func (d *Daemon) serveState(ctx context.Context) error {
	if d.MetricsPort == 0 {
		return nil
	}
	listener, err := net.Listen("tcp", net.JoinHostPort(d.settings.IP, strconv.Itoa(d.MetricsPort)))
	if err != nil {
		// Without the port clients are still served, only without metrics.
		d.log.Emit(event.StepFailed, "Step", "listen for metrics", "Reason", err.Error())
		return nil
	}
	metrics := d.metrics.Handler()
	server := &fasthttp.Server{
		NoDefaultServerHeader: true,
		Handler: func(c *fasthttp.RequestCtx) {
			switch string(c.Path()) {
			case MetricsPath:
				metrics(c)
			case StatePath:
				body, err := json.Marshal(d.State())
				if err != nil {
					c.Error(err.Error(), fasthttp.StatusInternalServerError)
					return
				}
				c.SetContentType("application/json")
				c.SetBody(body)
			case ExplainPath:
				d.serveExplanation(c)
			default:
				c.SetStatusCode(fasthttp.StatusNotFound)
			}
		},
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Shutdown() })
	defer stop()
	return server.Serve(listener)
}

// gauges returns the gauges that are computed from the state whenever metrics are read.
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
	targets, paces, limited := map[string]float64{}, map[string]float64{}, map[string]float64{}
	for _, t := range s.Targets {
		targets[t.state()]++
		if t.Limit != nil {
			limited[t.Service]++
		}
		if t.PacePercent > 0 {
			paces[t.Service] = max(paces[t.Service], float64(t.PacePercent)/100)
		}
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
	single := func(v float64) map[string]float64 { return map[string]float64{"": v} }
	held, refused := map[string]float64{}, map[string]float64{}
	for use, n := range s.Memory.Held {
		held[use] = float64(n)
	}
	for use, n := range s.Memory.Refused {
		refused[use] = float64(n)
	}
	return append([]metric.Gauge{
		{Name: "SequoiapickWaitingPieces", Description: "waiting pieces, by service", Attribute: "Service", Values: perService(func(st dispatch.ServiceState) float64 { return float64(st.Waiting) })},
		{Name: "SequoiapickRunningPieces", Description: "pieces in running calls, by service", Attribute: "Service", Values: perService(func(st dispatch.ServiceState) float64 { return float64(st.Running) })},
		{Name: "SequoiapickPressure", Description: "demand divided by the capacity of the targets, by service", Attribute: "Service", Values: perService(func(st dispatch.ServiceState) float64 { return st.Pressure })},
		{Name: "SequoiapickBeliefAgeSeconds", Description: "age of the copies of the platform's tables, by table", Attribute: "Table", Values: ages},
		{Name: "SequoiapickTargets", Description: "targets by state", Attribute: "State", Values: targets},
		{Name: "SequoiapickTargetPace", Description: "highest reported pace of the targets, 1 is usual, by service", Attribute: "Service", Values: paces},
		{Name: "SequoiapickLimitedTargets", Description: "targets that name a rate limit, by service", Attribute: "Service", Values: limited},
		{Name: "SequoiapickMembersAlive", Description: "other daemons that are alive", Values: single(alive)},
		{Name: "SequoiapickLeads", Description: "1 on the leader, 0 on the others", Values: single(leads)},
		{Name: "SequoiapickConfigurationVersion", Description: "version of the configuration in use", Values: single(float64(s.Version))},
		{Name: "SequoiapickQuarantinedParts", Description: "parts of prompts with which no request is sent to a target", Values: single(float64(len(s.Quarantined)))},
		{Name: "SequoiapickHeldBytes", Description: "memory held for clients, targets and links, by use", Attribute: "Use", Values: held},
		{Name: "SequoiapickMemoryRefusals", Description: "requests and parts of answers for which there was no memory so far, by use", Attribute: "Use", Values: refused},
		{Name: "SequoiapickConnections", Description: "open client connections", Values: single(float64(s.Connections))},
		{Name: "SequoiapickLinesDropped", Description: "log lines dropped so far", Values: single(float64(s.LinesDropped))},
	}, s.rolloutGauges()...)
}

// state returns the name of the first condition that keeps requests away from the target, or
// "Usable".
func (t TargetState) state() string {
	for _, s := range []struct {
		holds bool
		name  string
	}{{t.Draining, "Draining"}, {t.Out, "Out"}, {t.Cut, "Cut"}, {t.Suspect, "Suspect"}, {t.Cold, "Cold"}, {t.Replaced, "Replaced"}, {t.Unconfirmed, "Unconfirmed"}, {t.Withheld, "Withheld"}} {
		if s.holds {
			return s.name
		}
	}
	return "Usable"
}
