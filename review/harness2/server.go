package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// server is a stand-in of a server that runs requests. It follows the page on the protocol: it answers 421
// to a request for another server, echoes the attempt, signs its answers, tells at its health path how long
// it stays cold, and states its start in its report and its row.
type server struct {
	record  *record
	id      string
	service string
	zone    string
	born    int64
	slots   int
	// events is the number of events of an answer, gap the time before each. Without events the answer is
	// one body.
	events int
	gap    time.Duration

	address string

	mu        sync.Mutex
	coldUntil time.Time
	seq       int
	running   int
	draining  bool
	arrivals  []arrival
	listener  net.Listener
	conns     map[net.Conn]bool
	crashed   bool
}

// arrival is one request that reached a server.
type arrival struct {
	at      time.Time
	attempt string
	path    string
	cold    bool
}

// start listens on the address, or on a free port of it.
func (s *server) start(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.address, s.listener, s.conns = listener.Addr().String(), listener, map[net.Conn]bool{}
	if s.born == 0 {
		s.born = time.Now().UnixMilli()
	}
	h := &http.Server{Handler: http.HandlerFunc(s.handle), ConnState: s.track}
	go func() { _ = h.Serve(listener) }()
	return nil
}

// track keeps the open connections, for crash.
func (s *server) track(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case state == http.StateNew && s.crashed:
		_ = c.Close()
	case state == http.StateNew:
		s.conns[c] = true
	case state == http.StateClosed || state == http.StateHijacked:
		delete(s.conns, c)
	}
}

// crash ends the server as the end of its process does: its connections and its port are closed.
func (s *server) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.crashed {
		return
	}
	s.crashed = true
	_ = s.listener.Close()
	for c := range s.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// row is the server's entry in the store.
func (s *server) row() map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seq++
	state := "ready"
	if s.draining {
		state = "draining"
	}
	return map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": s.slots, "state": state,
		"coldRemainingMs": s.coldLeft().Milliseconds(), "seq": s.seq, "born": s.born,
		"stage": "combined", "models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}},
	}
}

// drain makes the server report that it is leaving.
func (s *server) drain() {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
}

// coldLeft is how long the server stays cold. The caller holds the mutex.
func (s *server) coldLeft() time.Duration { return max(time.Until(s.coldUntil), 0) }

// turnCold makes the server cold for a time.
func (s *server) turnCold(d time.Duration) {
	s.mu.Lock()
	s.coldUntil = time.Now().Add(d)
	s.mu.Unlock()
}

func (s *server) handle(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("X-Target-Instance"); expected != "" && expected != s.id {
		w.Header().Set("X-Instance-Id", s.id)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/health":
		s.mu.Lock()
		w.Header().Set("X-Cold-Ms", strconv.FormatInt(s.coldLeft().Milliseconds(), 10))
		w.Header().Set("X-Server-Load", fmt.Sprintf("%d,0,%d", s.running, s.slots))
		s.mu.Unlock()
		w.Header().Set("X-Instance-Id", s.id)
	case "/v1/report":
		s.mu.Lock()
		_, _ = fmt.Fprintf(w, `{"stage":"combined","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"seq":0,"waiting":0,"running":%d,"kvUsed":0,"kvTotal":475968,"handles":0,"born":%d}`, s.running, s.born)
		s.mu.Unlock()
	default:
		s.run(w, r)
	}
}

// run runs a request.
func (s *server) run(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get("X-Attempt-Id")
	at := time.Now()
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	w.Header().Set("X-Attempt-Id", attempt)
	s.mu.Lock()
	cold := s.coldLeft() > 0
	s.arrivals = append(s.arrivals, arrival{at, attempt, r.URL.Path, cold})
	s.record.addAt(at, "%s of %s gets %s %s, cold=%v", s.id, s.service, attempt, r.URL.Path, cold)
	w.Header().Set("X-Server-Load", fmt.Sprintf("%d,0,%d", s.running, s.slots))
	if s.running >= s.slots {
		s.mu.Unlock()
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.running++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.running--
		s.mu.Unlock()
	}()
	w.Header().Set("X-Response-Signature", s.id+"."+attempt)
	w.Header().Set("X-Weight-Versions", "1")
	if s.events == 0 {
		select {
		case <-time.After(s.gap):
		case <-r.Context().Done():
			return
		}
		_, _ = io.WriteString(w, "answer to "+attempt)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := last + 1; n <= s.events; n++ {
		select {
		case <-time.After(s.gap):
		case <-r.Context().Done():
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", n, attempt, n)
		_ = http.NewResponseController(w).Flush()
	}
}

// worst returns the most arrivals while cold in any second, the start of that second and their number.
func (s *server) worst() (most int, from time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var cold []time.Time
	for _, a := range s.arrivals {
		if a.cold {
			cold = append(cold, a.at)
		}
	}
	for i, first := range cold {
		n := 0
		for _, at := range cold[i:] {
			if at.Sub(first) < time.Second {
				n++
			}
		}
		if n > most {
			most, from = n, first
		}
	}
	return most, from
}
