package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// repeatedCall: stage servers send some of their answers a second time, late. A request must never get
// the result of another one.
func repeatedCall(p *play) error {
	const (
		servers     = 10                    // of the stage
		share       = 0.6                   // of the servers
		dose        = 0.03                  // of their answers
		period      = 5 * time.Second       // for so long
		pause       = 2 * time.Second       // then not for so long
		length      = 90 * time.Second      // of the load
		interval    = 60 * time.Millisecond // between two requests
		resultBytes = 1_500_000             // approximately
	)
	stages = stageConfig{call: 200 * time.Millisecond, item: 21 * time.Millisecond, room: 3_000_000, size: func() int64 { return 900_000 + rand.Int64N(1_200_000) }}
	engines = engineConfig{first: 900 * time.Millisecond, gap: 40 * time.Millisecond, events: 5, pieces: 1}
	if err := p.startWorld(); err != nil {
		return err
	}
	p.configure(3, []map[string]any{
		{"name": "quote", "host": "h.example", "prefix": "/quote/", "kind": "streaming", "service": "pool", "timeoutMs": 6000, "targetLatencyMs": 1800, "priority": 0, "maxAttempts": 1, "sticky": true, "resumable": false, "public": false, "gapAimMs": 300,
			"stages": []map[string]any{{"service": "invoicing", "after": []int{}, "bytes": resultBytes}}},
	}, []map[string]any{
		{"name": "pool", "healthPath": "/health", "maxConnections": 370, "warmupS": 0.0, "coldPerS": 0.0, "engine": map[string]any{"slots": 64, "kvCapacity": 475968, "kvBytes": 35136, "linkMbps": 550000.0, "stride": 5, "models": []map[string]any{{"name": "m"}}}},
		{"name": "invoicing", "healthPath": "/health", "maxConnections": 370, "warmupS": 0.0, "coldPerS": 0.0, "pieces": map[string]any{"slots": 1, "queue": 2, "batch": 8, "callMs": 200.0, "itemMs": 21.0, "headroomMb": 3.0, "handleS": 4.0, "linkMbps": 10000}},
	})
	for i := range 3 {
		if _, err := p.world.startServer(fmt.Sprintf("i-pool%d", i), "pool", zones[i], "engine"); err != nil {
			return err
		}
	}
	var mu sync.Mutex
	answers, repeated := 0, 0
	active := false
	for i := range servers {
		s, err := p.world.startServer(fmt.Sprintf("i-invoicing%d", i), "invoicing", zones[i%3], "stage")
		if err != nil {
			return err
		}
		if float64(i) < share*servers {
			s.mu.Lock()
			s.repeat = func(body []byte) bool {
				mu.Lock()
				defer mu.Unlock()
				if !active {
					return false
				}
				answers++
				// The fault lies where the server answers that it made no result.
				if !bytes.Contains(body, []byte("handle")) && float64(repeated+1) <= dose*float64(answers) {
					repeated++
					return true
				}
				return false
			}
			s.mu.Unlock()
		}
	}
	if err := p.startHosts(3); err != nil {
		return err
	}
	if p.trouble {
		go func() {
			for {
				time.Sleep(pause)
				mu.Lock()
				active = true
				mu.Unlock()
				time.Sleep(period)
				mu.Lock()
				active = false
				p.record.add("the disruption pauses: so far %d answers of the affected servers while it lasted, %d of them sent again", answers, repeated)
				mu.Unlock()
			}
		}()
	}
	return p.quoteLoad(length, interval)
}

// quoteLoad sends streaming requests of one piece to all daemons in turn.
func (p *play) quoteLoad(length, interval time.Duration) error {
	var clients []*client
	for _, h := range p.hosts {
		clients = append(clients, newClient(h.front))
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	statuses := map[int]int{}
	began := time.Now()
	for n := 0; time.Since(began) < length; n++ {
		time.Sleep(time.Duration(float64(interval) * (0.5 + rand.Float64())))
		wg.Add(1)
		go func() {
			defer wg.Done()
			attempt := newAttempt()
			c := clients[n%len(clients)]
			p.record.add("request %s is sent to %s", attempt, c.front)
			o := c.do(request{method: "POST", path: "/quote/1", attempt: attempt, deadline: 6 * time.Second, body: []byte("{}"), header: map[string]string{
				"X-Model": "m", "X-Token-Usage": "700,25", "X-Prompt-Prefix": fmt.Sprintf("5c1e07a2:300,%s:400", attempt), "X-Pieces": "1", "X-Piece-Key": keyOf(attempt),
			}})
			p.record.add("request %s is answered: status %d, %d events, complete %v, error %v", attempt, o.status, o.events, o.complete, o.err)
			mu.Lock()
			statuses[o.status]++
			mu.Unlock()
		}()
	}
	wg.Wait()
	p.record.add("statuses: %v", statuses)
	if statuses[200] == 0 {
		return fmt.Errorf("no request was served: %v", statuses)
	}
	return nil
}
