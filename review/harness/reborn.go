package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// reborn: a model server is cut off, crashes behind the cut and starts again before the cut ends. A
// stream that it had begun must not end as complete.
func reborn(p *play) error {
	const (
		cutFor   = 2200 * time.Millisecond
		crashAt  = 1000 * time.Millisecond // after the begin of the cut
		startAt  = 1900 * time.Millisecond // after the begin of the cut
		every    = 8 * time.Second         // between the begins of two cuts
		length   = 44 * time.Second
		interval = 120 * time.Millisecond
		servers  = 5 // one of them is cut off at a time: a share of 0.2
	)
	engines = engineConfig{first: 100 * time.Millisecond, gap: 60 * time.Millisecond, events: 30}
	if err := p.startWorld(); err != nil {
		return err
	}
	p.configure(3, []map[string]any{
		{"name": "draft", "host": "h.example", "prefix": "/draft/", "kind": "streaming", "service": "pool", "timeoutMs": 6000, "targetLatencyMs": 1800, "priority": 0, "maxAttempts": 1, "sticky": true, "resumable": false, "public": false, "gapAimMs": 300},
	}, []map[string]any{
		{"name": "pool", "healthPath": "/health", "maxConnections": 370, "warmupS": 0.0, "coldPerS": 0.0, "engine": map[string]any{"slots": 64, "kvCapacity": 475968, "kvBytes": 35136, "linkMbps": 550000.0, "stride": 5, "models": []map[string]any{{"name": "m"}}}},
	})
	var relays []*relay
	var running []*server
	for i := range servers {
		address := freeAddress("127.4.0.1")
		r, err := startRelay(address)
		if err != nil {
			return err
		}
		s, err := p.world.startBehind(fmt.Sprintf("i-pool%d", i), "pool", zones[i%3], address, r)
		if err != nil {
			return err
		}
		s.register()
		go s.beat()
		relays, running = append(relays, r), append(running, s)
	}
	if err := p.startHosts(3); err != nil {
		return err
	}
	failed := make(chan error, 1)
	if p.trouble {
		go func() {
			for n := 0; ; n++ {
				time.Sleep(every)
				began := time.Now()
				until := func(d time.Duration) { time.Sleep(time.Until(began.Add(d))) }
				r, s := relays[n%servers], running[n%servers]
				p.record.add("server %s is cut off", s.id)
				r.cut()
				s.mu.Lock()
				s.silent = true
				s.mu.Unlock()
				until(crashAt)
				p.record.add("server %s crashes", s.id)
				s.net.stop()
				until(startAt)
				next, err := p.world.startBehind(fmt.Sprintf("i-pool%d-%d", n%servers, n), "pool", s.zone, s.net.address, r)
				if err != nil {
					failed <- err
					return
				}
				p.record.add("server %s has started at its address", next.id)
				until(cutFor)
				if err := r.heal(); err != nil {
					failed <- err
					return
				}
				p.record.add("the cut is over")
				next.register()
				go next.beat()
				running[n%servers] = next
				// Its entry is removed after three heartbeats of silence.
				time.AfterFunc(time.Until(began.Add(3*heartbeat)), func() { p.store.remove("servers", s.id) })
			}
		}()
	}
	if err := p.draftLoad(length, interval); err != nil {
		return err
	}
	select {
	case err := <-failed:
		return err
	default:
		return nil
	}
}

// draftLoad sends streaming requests without stages to all daemons in turn, and checks that no stream
// ends as complete before its last event.
func (p *play) draftLoad(length, interval time.Duration) error {
	var clients []*client
	for _, h := range p.hosts {
		clients = append(clients, newClient(h.front))
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	whole := 0
	began := time.Now()
	for n := 0; time.Since(began) < length; n++ {
		time.Sleep(time.Duration(float64(interval) * (0.5 + rand.Float64())))
		wg.Add(1)
		go func() {
			defer wg.Done()
			attempt := newAttempt()
			c := clients[n%len(clients)]
			p.record.add("request %s is sent to %s", attempt, c.front)
			o := c.do(request{method: "POST", path: "/draft/1", attempt: attempt, deadline: 6 * time.Second, body: []byte("{}"), header: map[string]string{
				"X-Model": "m", "X-Token-Usage": "700,150", "X-Prompt-Prefix": fmt.Sprintf("5c1e07a2:300,%s:400", attempt),
			}})
			p.record.add("request %s is answered: status %d, %d events, complete %v, error %v", attempt, o.status, o.events, o.complete, o.err)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case o.status == 200 && o.complete && o.events < engines.events:
				p.record.broken("ORDER: the stream of request %s ended as complete after %d of %d events; its server had made %d", attempt, o.events, engines.events, p.record.made(attempt))
			case o.status == 200 && o.complete:
				whole++
			}
		}()
	}
	wg.Wait()
	p.record.add("whole streams: %d", whole)
	if whole == 0 {
		return fmt.Errorf("no stream was served")
	}
	return nil
}
