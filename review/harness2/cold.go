package main

import (
	"context"
	"maps"
	"math"
	"slices"
	"sync"
	"syscall"
	"time"
)

// The bounds of the small site: while it is cold, a server may get coldPerS x coldOver + coldSlack requests
// in a second, summed over all machines.
const (
	coldPerS  = 17.0
	coldOver  = 1.5
	coldSlack = 5.0
)

// coldBound is that number.
var coldBound = int(math.Floor(coldPerS*coldOver + coldSlack))

// streamRoutes is a route for streams that may be resumed, on the service "llm".
func streamRoutes() []map[string]any {
	return []map[string]any{{
		"name": "stream", "host": "h.example", "prefix": "/stream/", "kind": "streaming", "service": "llm", "timeoutMs": 20000, "targetLatencyMs": 1800,
		"priority": 1, "maxAttempts": 2, "sticky": true, "resumable": true, "gapAimMs": 300, "public": false,
	}}
}

// engineServices is the service "llm" with servers that are cold for a time after their start.
func engineServices(warmup time.Duration) []map[string]any {
	return []map[string]any{{
		"name": "llm", "healthPath": "/health", "maxConnections": 370, "protocol": "h1", "tls": false, "warmupS": warmup.Seconds(), "coldPerS": coldPerS,
		"engine": map[string]any{"slots": 64, "kvCapacity": 475968, "kvBytes": 35136, "linkMbps": 550000.0, "stride": 5, "models": []map[string]any{{"name": "m"}}},
	}}
}

// newEngine returns a server of "llm".
func newEngine(r *record, id string, cold time.Duration) *server {
	s := &server{record: r, id: id, service: "llm", zone: zones[0], slots: 64, events: 3, gap: 40 * time.Millisecond}
	if cold > 0 {
		s.turnCold(cold)
	}
	return s
}

// runLoads runs the loads until the context ends and records their outcomes.
func runLoads(ctx context.Context, r *record, loads []*load) (wait func()) {
	var wg sync.WaitGroup
	for _, l := range loads {
		wg.Add(1)
		go func() {
			defer wg.Done()
			l.run(ctx)
		}()
	}
	return func() {
		wg.Wait()
		for _, l := range loads {
			r.add("clients of %s sent %d requests", l.daemon.host, l.sent)
			for _, outcome := range slices.Sorted(maps.Keys(l.outcomes)) {
				r.add("  %s: %d", outcome, l.outcomes[outcome])
			}
		}
	}
}

// judgeCold records the worst second of each server, and reports whether all are within the bound.
func judgeCold(r *record, servers ...*server) bool {
	held := true
	for _, s := range servers {
		most, from := s.worst()
		r.add("%s got at most %d requests in one second while it was cold, from %.3f s on; the bound is %d", s.id, most, from.Sub(r.began).Seconds(), coldBound)
		held = held && most <= coldBound
	}
	return held
}

// coldOutage: while the store is down, the servers of a zone, which are all of a service, go down and come back
// cold, under their IDs and at their addresses.
func coldOutage(r *record, trouble bool) (held bool, err error) {
	const warmup = 3 * time.Second
	f, err := newFleet(r)
	if err != nil {
		return false, err
	}
	defer f.close()
	f.configure(streamRoutes(), engineServices(warmup))
	var before, after []*server
	for _, id := range []string{"i-1", "i-2"} {
		s := newEngine(r, id, 0)
		if err := s.start("127.13.1.1:0"); err != nil {
			return false, err
		}
		f.list(s)
		before = append(before, s)
	}
	if err := f.startDaemons(3); err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	if _, err := f.awaitLeader(ctx); err != nil {
		return false, err
	}
	var loads []*load
	for _, d := range f.daemons {
		loads = append(loads, &load{record: r, daemon: d, path: "/stream/x", perSecond: 25, patience: 7200 * time.Millisecond, deadline: 20 * time.Second, last: 3})
	}
	sending, stopSending := context.WithCancel(ctx)
	defer stopSending()
	wait := runLoads(sending, r, loads)
	time.Sleep(3 * time.Second)
	if trouble {
		f.setStoreAway(true)
	}
	time.Sleep(500 * time.Millisecond)
	r.add("the servers of the zone go down")
	for _, s := range before {
		s.crash()
		f.silence(s)
	}
	time.Sleep(2 * time.Second)
	for _, s := range before {
		again := newEngine(r, s.id, warmup)
		if err := again.start(s.address); err != nil {
			return false, err
		}
		f.list(again)
		after = append(after, again)
	}
	r.add("they are back, cold for %v", warmup)
	time.Sleep(3500 * time.Millisecond)
	if trouble {
		f.setStoreAway(false)
	}
	time.Sleep(2 * time.Second)
	stopSending()
	wait()
	return judgeCold(r, after...), nil
}

// coldStale: the leader freezes. Meanwhile the servers of a zone, which are all of a service, go down and come
// back cold, under their IDs and at their addresses. The store is up and lists them as cold at once.
func coldStale(r *record, trouble bool) (held bool, err error) {
	const warmup = 3 * time.Second
	f, err := newFleet(r)
	if err != nil {
		return false, err
	}
	defer f.close()
	f.configure(streamRoutes(), engineServices(warmup))
	var before, after []*server
	for _, id := range []string{"i-1", "i-2"} {
		s := newEngine(r, id, 0)
		if err := s.start("127.13.1.1:0"); err != nil {
			return false, err
		}
		f.list(s)
		before = append(before, s)
	}
	if err := f.startDaemons(3); err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	leader, err := f.awaitLeader(ctx)
	if err != nil {
		return false, err
	}
	var ofLeader *load
	var loads []*load
	for _, d := range f.daemons {
		l := &load{record: r, daemon: d, path: "/stream/x", perSecond: 13, patience: 7200 * time.Millisecond, deadline: 20 * time.Second, last: 3}
		if d == leader {
			ofLeader, l.perSecond = l, 33
		}
		loads = append(loads, l)
	}
	sending, stopSending := context.WithCancel(ctx)
	defer stopSending()
	wait := runLoads(sending, r, loads)
	time.Sleep(3 * time.Second)
	if trouble {
		r.add("%s, the leader, freezes", leader.host)
		ofLeader.frozen.Store(true)
		if err := leader.command.Process.Signal(syscall.SIGSTOP); err != nil {
			return false, err
		}
	}
	time.Sleep(300 * time.Millisecond)
	r.add("the servers of the zone go down")
	for _, s := range before {
		s.crash()
		f.silence(s)
	}
	time.Sleep(2 * time.Second)
	for _, s := range before {
		again := newEngine(r, s.id, warmup)
		if err := again.start(s.address); err != nil {
			return false, err
		}
		f.list(again)
		after = append(after, again)
	}
	r.add("they are back, cold for %v, and listed", warmup)
	time.Sleep(1200 * time.Millisecond)
	if trouble {
		r.add("%s wakes", leader.host)
		ofLeader.frozen.Store(false)
		if err := leader.command.Process.Signal(syscall.SIGCONT); err != nil {
			return false, err
		}
	}
	time.Sleep(3 * time.Second)
	stopSending()
	wait()
	return judgeCold(r, after...), nil
}

// coldReplaced: many machines have been lost for good and replaced, one after the other. Long after, a new
// server starts cold.
func coldReplaced(r *record, trouble bool) (held bool, err error) {
	const (
		warmup = 6 * time.Second
		size   = 9
		gone   = 135
	)
	f, err := newFleet(r)
	if err != nil {
		return false, err
	}
	defer f.close()
	f.configure(streamRoutes(), engineServices(warmup))
	first := newEngine(r, "i-first", 0)
	if err := first.start("127.13.1.1:0"); err != nil {
		return false, err
	}
	f.list(first)
	if err := f.startDaemons(size); err != nil {
		return false, err
	}
	f.added = size
	time.Sleep(2 * time.Second)
	f.recordLeaders()
	if trouble {
		for i := range gone {
			if err := f.replace(i % size); err != nil {
				return false, err
			}
			time.Sleep(100 * time.Millisecond)
		}
		r.add("%d machines were replaced, one after the other; no other disruption follows", gone)
	}
	for range 4 {
		time.Sleep(3 * time.Second)
		f.recordLeaders()
	}
	var loads []*load
	for _, d := range f.daemons {
		loads = append(loads, &load{record: r, daemon: d, path: "/stream/x", perSecond: 6, patience: 7200 * time.Millisecond, deadline: 20 * time.Second, last: 3})
	}
	sending, stopSending := context.WithCancel(context.Background())
	defer stopSending()
	wait := runLoads(sending, r, loads)
	time.Sleep(3 * time.Second)
	r.add("the server leaves; another one starts cold")
	first.drain()
	f.list(first)
	second := newEngine(r, "i-second", warmup)
	if err := second.start("127.13.1.2:0"); err != nil {
		return false, err
	}
	f.list(second)
	for range 3 {
		time.Sleep(2 * time.Second)
		f.recordLeaders()
	}
	stopSending()
	wait()
	return judgeCold(r, second), nil
}
