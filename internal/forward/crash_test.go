package forward_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/sequoiapick/sequoiapick/internal/canary"
	"github.com/sequoiapick/sequoiapick/internal/cluster/clusterpb"
	"github.com/sequoiapick/sequoiapick/internal/dispatch"
	"github.com/sequoiapick/sequoiapick/internal/exchange"
	"github.com/sequoiapick/sequoiapick/internal/forward"
	"github.com/sequoiapick/sequoiapick/internal/ingress"
	"github.com/sequoiapick/sequoiapick/internal/inventory"
	"github.com/sequoiapick/sequoiapick/internal/memory"
	"github.com/sequoiapick/sequoiapick/internal/placement"
	"github.com/sequoiapick/sequoiapick/internal/scheduler"
	"github.com/sequoiapick/sequoiapick/internal/targetlimit"
	"github.com/sequoiapick/sequoiapick/internal/targetmemory"
	"github.com/sequoiapick/sequoiapick/pkg/route"
	"github.com/sequoiapick/sequoiapick/pkg/service"
	"github.com/sequoiapick/sequoiapick/platform"
)

// loneMesh is the mesh of a daemon without others.
type loneMesh struct{}

func (loneMesh) Send(string, *clusterpb.Envelope) bool { return false }
func (loneMesh) Leader() string                        { return "a" }
func (loneMesh) Incarnation(string) string             { return "1" }
func (loneMesh) Ended(string) bool                     { return false }
func (loneMesh) Standbys() []string                    { return nil }

// crashRoute is a route of the test; its path is /KIND/.
type crashRoute struct {
	name  string
	route route.Route
	// events is set if its answers are streams.
	events bool
	// again is set if another target can answer after the first has begun to.
	again bool
}

// crashRoutes returns routes for each way in which answers are relayed. The pieces of the stage are
// none, so that it needs no target.
func crashRoutes() []crashRoute {
	stages := []route.Stage{{Service: "stage"}}
	return []crashRoute{
		{"stream", route.Route{Kind: route.Streaming, MaxAttempts: 2}, true, false},
		{"resumable", route.Route{Kind: route.Streaming, Resumable: true, MaxAttempts: 2}, true, true},
		{"safe", route.Route{Kind: route.Safe, MaxAttempts: 2}, false, true},
		{"unsafe", route.Route{Kind: route.Unsafe, MaxAttempts: 2}, false, false},
		{"generation", route.Route{Kind: route.Safe, MaxAttempts: 2, Stages: stages}, false, false},
	}
}

// cut is how a target ends an answer that it doesn't complete.
type cut struct {
	framing string
	// sent is the number of bytes of the body that are sent, with the marks of the framing.
	sent int
	// reset is set if the connection is reset, otherwise it is closed.
	reset bool
	// reborn is set if the target starts again before the end of its answer is read, so that its port
	// accepts connections.
	reborn bool
}

// frame returns the head of an answer and its framed body.
func frame(framing, id, body string) (head, framed string) {
	head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Response-Signature: s\r\n"
	switch framing {
	case "length":
		return head + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)), body
	case "chunks":
		return head + "Transfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	default:
		return head + "\r\n", body
	}
}

// targets are two targets of one service. The first requests, as many as crashes, are answered with a
// cut, after which their target has ended; the others are answered whole with the framing of the cut.
type targets struct {
	cut    cut
	events bool
	// budget is that of the daemon, nil for none.
	budget *memory.Budget

	mu      sync.Mutex
	crashes int
	// starts holds the times of the starts of the targets that were reborn.
	starts map[net.Listener]int64
}

// firstStart is the time of the first start of each target, rebornStart that of the second.
const firstStart, rebornStart = 1000, 2000

// startOf returns the time of the last start of a target.
func (ts *targets) startOf(listener net.Listener) int64 {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	if start, reborn := ts.starts[listener]; reborn {
		return start
	}
	return firstStart
}

// streamEvents is the number of events of a whole stream.
const streamEvents = 2

// text returns the whole answer, or the events after the last one that a client has.
func (ts *targets) text(last string) string {
	if !ts.events {
		return "the answer"
	}
	all := ""
	for n := 1; n <= streamEvents; n++ {
		if id := fmt.Sprint(n); id > last {
			all += "id: " + id + "\ndata: x" + id + "\n\n"
		}
	}
	return all
}

// start runs one target until it crashes or the test ends, and returns its address.
func (ts *targets) start(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go ts.answer(conn, listener)
		}
	}()
	return listener.Addr().String()
}

func (ts *targets) answer(conn net.Conn, listener net.Listener) {
	defer conn.Close()
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if r.URL.Path == platform.ReportPath {
		report := fmt.Sprintf(`{"running":0,"born":%d}`, ts.startOf(listener))
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(report), report)
		return
	}
	ts.mu.Lock()
	crash := ts.crashes > 0
	ts.crashes--
	ts.mu.Unlock()
	head, body := frame(ts.cut.framing, r.Header.Get("X-Attempt-Id"), ts.text(r.Header.Get("Last-Event-Id")))
	if !crash {
		_, _ = io.WriteString(conn, head+body)
		return
	}
	_, _ = io.WriteString(conn, head+body[:min(ts.cut.sent, max(len(body)-1, 0))])
	if ts.cut.reborn {
		ts.mu.Lock()
		ts.starts = map[net.Listener]int64{listener: rebornStart}
		ts.mu.Unlock()
	} else {
		_ = listener.Close()
	}
	if tcp, ok := conn.(*net.TCPConn); ok && ts.cut.reset {
		_ = tcp.SetLinger(0)
	}
}

// startForwarder serves a route with the two targets, and returns the address for clients.
func startForwarder(t *testing.T, r route.Route, ts *targets) string {
	t.Helper()
	return startForwarderWith(t, r, map[string]string{"i-1": ts.start(t), "i-2": ts.start(t)}, ts.budget)
}

// startForwarderTo serves a route with targets, whose addresses are given by ID, and returns the address
// for clients.
func startForwarderTo(t *testing.T, r route.Route, addresses map[string]string) string {
	t.Helper()
	_, address := startForwarderOf(t, r, addresses, forwarderOptions{})
	return address
}

// startForwarderWith is startForwarderTo with a budget of memory.
func startForwarderWith(t *testing.T, r route.Route, addresses map[string]string, budget *memory.Budget) string {
	t.Helper()
	return startForwarderCounting(t, r, addresses, budget, nil)
}

// startForwarderCounting is startForwarderWith with a tracker of what targets hold.
func startForwarderCounting(t *testing.T, r route.Route, addresses map[string]string, budget *memory.Budget, tracker *targetmemory.Tracker) string {
	t.Helper()
	_, address := startForwarderOf(t, r, addresses, forwarderOptions{budget: budget, tracker: tracker})
	return address
}

// forwarderOptions are the optional parts of a forwarder. The version of a target in rollouts is its ID.
type forwarderOptions struct {
	budget       *memory.Budget
	tracker      *targetmemory.Tracker
	rollouts     *canary.Sides
	stageTargets []dispatch.Target
	// mesh replaces that of a daemon without others.
	mesh scheduler.Mesh
}

// startForwarderOf is startForwarderTo with options that also returns the forwarder.
func startForwarderOf(t *testing.T, r route.Route, addresses map[string]string, o forwarderOptions) (*forward.Forwarder, string) {
	t.Helper()
	clock := clockwork.NewRealClock()
	r.Host, r.Prefix, r.Timeout, r.LatencyObjective = "h", "/", 5*time.Second, time.Second
	r.Backends = []route.Backend{{Service: "llm", Weight: 1}}
	stage := service.Service{Name: "stage", Batch: &service.Batch{Slots: 1, MaxPieces: 4, CallTime: 100 * time.Millisecond, PieceTime: time.Millisecond, ResultLifetime: 4 * time.Second}}
	llm := service.Service{Name: "llm", HealthPath: "/health", Engine: &service.Engine{Slots: 8, CacheTokens: 100_000, TokensPerEvent: 5}}
	table := route.NewTable(1, []route.Route{r}, []service.Service{llm, stage}, route.Limits{}, nil)
	inv := &inventory.Inventory{Clock: clock}
	var engines []placement.Engine
	for id, address := range addresses {
		inv.ApplyReport(platform.TargetReport{ID: id, Service: "llm", Address: address, Slots: 8, StartUnixMillis: firstStart, SoftwareVersion: id})
		engines = append(engines, placement.Engine{ID: id, Service: "llm", Address: address, Incarnation: firstStart, Version: id, Canary: true})
	}
	if o.rollouts != nil {
		o.rollouts.Inventory = inv
	}
	pool := &exchange.Pool{Clock: clock}
	limits := &targetlimit.Table{}
	noticed := func(n targetlimit.Notice) { limits.Record(n) }
	mesh := scheduler.Mesh(loneMesh{})
	if o.mesh != nil {
		mesh = o.mesh
	}
	s := &scheduler.Scheduler{Host: "a", Mesh: mesh, Pool: pool, Clock: clock, Rollouts: o.rollouts, Limits: limits, LimitNoticed: noticed}
	s.Init()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	ended := make(chan error, 2)
	go func() { ended <- s.Run(ctx) }()
	s.SetInventory(table.Services, o.stageTargets, engines)
	f := &forward.Forwarder{
		Table:        func() *route.Table { return table },
		Inventory:    inv,
		Scheduler:    s,
		Pool:         pool,
		Clock:        clock,
		TargetMemory: o.tracker,
		Rollouts:     o.rollouts,
		Limits:       limits,
		LimitNoticed: noticed,
		RetryBudget:  &forward.RetryBudget{Clock: clock, Ratio: 1, Slack: 100, Window: 10 * time.Second, Daemons: func() int { return 1 }},
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &ingress.Server{Handler: f, Limits: func() route.Limits { return route.Limits{} }, Now: time.Now, Memory: o.budget}
	go func() { ended <- server.Serve(ctx, listener) }()
	t.Cleanup(server.CloseAll)
	return f, listener.Addr().String()
}

// get sends one request and returns the body of an answer with status 200, and whether its framing
// says that it is complete.
func get(address, protocol string) (body string, complete bool, err error) {
	return getAttempt(address, protocol, "a1")
}

// getAttempt is get for a request with the ID.
func getAttempt(address, protocol, id string) (body string, complete bool, err error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return "", false, err
	}
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "GET /2f HTTP/%s\r\nHost: h\r\nX-Attempt-Id: %s\r\nX-Pieces: 0\r\nX-Model: m\r\nX-Token-Usage: 10,10\r\nX-Prompt-Prefix: 5c:10\r\n\r\n", protocol, id)
	if err != nil {
		return "", false, err
	}
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "", false, nil // a closed connection promises nothing
	}
	read, err := io.ReadAll(answer.Body)
	return string(read), answer.StatusCode == 200 && err == nil, nil
}

// TestAnswerOfCrashedTargetDoesNotLookComplete crashes the first target, or also the one that the
// request is sent to then, at each byte of the body. The client must get the whole answer or see that
// it has not.
func TestAnswerOfCrashedTargetDoesNotLookComplete(t *testing.T) {
	for _, r := range crashRoutes() {
		for _, framing := range []string{"length", "chunks", "neither"} {
			for _, protocol := range []string{"1.1", "1.0"} {
				t.Run(strings.Join([]string{r.name, framing, protocol}, "/"), func(t *testing.T) {
					t.Parallel()
					_, body := frame(framing, "a1", (&targets{events: r.events}).text(""))
					for sent := range len(body) {
						for n := range 4 {
							c := cut{framing: framing, sent: sent, reset: n%2 == 1}
							checkCrash(t, r, protocol, &targets{crashes: 1 + n/2, cut: c, events: r.events})
							if sent%4 == n { // a part, since each run leaves ports behind that can't be used for a minute
								checkCrash(t, r, protocol, &targets{crashes: 1 + n/2, cut: c, events: r.events, budget: memory.New(10_000_000)})
							}
						}
						c := cut{framing: framing, sent: sent, reborn: true}
						checkCrash(t, r, protocol, &targets{crashes: 1, cut: c, events: r.events})
					}
				})
			}
		}
	}
}

// checkCrash sends one request to targets that crash.
func checkCrash(t *testing.T, r crashRoute, protocol string, ts *targets) {
	t.Helper()
	crashes, whole := ts.crashes, ts.text("")
	body, complete, err := get(startForwarder(t, r.route, ts), protocol)
	if err != nil {
		t.Fatal(err)
	}
	if complete && body != whole {
		t.Errorf("%d crashes, cut %+v: the client takes %q for complete", crashes, ts.cut, body)
	}
	if !complete && crashes == 1 && r.again {
		t.Errorf("%d crashes, cut %+v: the client has no complete answer, though the other target could answer", crashes, ts.cut)
	}
}

// TestWholeAnswerArrivesWhole relays whole answers with each framing; a client of HTTP/1.1 keeps its
// connection.
func TestWholeAnswerArrivesWhole(t *testing.T) {
	for _, r := range crashRoutes() {
		for _, framing := range []string{"length", "chunks", "neither"} {
			ts := &targets{cut: cut{framing: framing}, events: r.events, budget: memory.New(10_000_000)}
			address := startForwarder(t, r.route, ts)
			body, complete, err := get(address, "1.1")
			if err != nil || !complete || body != ts.text("") {
				t.Errorf("%s, %s: got %q, complete %v, %v", r.name, framing, body, complete, err)
			}
			request, err := http.NewRequest(http.MethodGet, "http://"+address+"/2f", nil)
			if err != nil {
				t.Fatal(err)
			}
			request.Host = "h"
			for name, value := range map[string]string{"X-Attempt-Id": "a2", "X-Pieces": "0", "X-Model": "m", "X-Token-Usage": "10,10", "X-Prompt-Prefix": "5c:10"} {
				request.Header.Set(name, value)
			}
			response, err := http.DefaultClient.Do(request)
			if err != nil {
				t.Fatal(err)
			}
			_, err = io.ReadAll(response.Body)
			if err = errors.Join(err, response.Body.Close()); err != nil || response.Close {
				t.Errorf("%s, %s: the connection is closed: %v, %v", r.name, framing, response.Close, err)
			}
		}
	}
}
