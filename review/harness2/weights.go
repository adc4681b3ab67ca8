package main

import (
	"context"
	"strings"
	"time"
)

// zeroWeights: a new version of the configuration takes both services of a route out by their weights. Another
// service, which no configuration names for the route, serves its own route all the time.
func zeroWeights(r *record, trouble bool) (held bool, err error) {
	f, err := newFleet(r)
	if err != nil {
		return false, err
	}
	defer f.close()
	routes := func(weight int) []map[string]any {
		return []map[string]any{
			{
				"name": "orders", "host": "h.example", "prefix": "/orders/", "kind": "unsafe", "timeoutMs": 2000, "targetLatencyMs": 300, "priority": 2, "maxAttempts": 1, "public": false,
				"backends": []map[string]any{{"service": "desk-old", "weight": weight}, {"service": "desk-new", "weight": weight}},
			},
			{
				"name": "invoices", "host": "h.example", "prefix": "/invoices/", "kind": "unsafe", "timeoutMs": 2000, "targetLatencyMs": 300, "priority": 2, "maxAttempts": 1, "public": false,
				"service": "invoicing",
			},
		}
	}
	var services []map[string]any
	var servers []*server
	for i, name := range []string{"desk-old", "desk-new", "invoicing"} {
		services = append(services, map[string]any{"name": name, "healthPath": "/health", "maxConnections": 110, "protocol": "h1", "tls": false, "warmupS": 0.0, "coldPerS": 0.0})
		s := &server{record: r, id: "i-" + name, service: name, zone: zones[i], slots: 20, gap: 30 * time.Millisecond}
		if err := s.start("127.13.1.1:0"); err != nil {
			return false, err
		}
		f.list(s)
		servers = append(servers, s)
	}
	f.configure(routes(50), services)
	if err := f.startDaemons(3); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var loads []*load
	for _, d := range f.daemons {
		for _, path := range []string{"/orders/x", "/invoices/x"} {
			loads = append(loads, &load{record: r, daemon: d, path: path, perSecond: 5, deadline: 4 * time.Second})
		}
	}
	wait := runLoads(ctx, r, loads)
	time.Sleep(4 * time.Second)
	if trouble {
		r.add("a new configuration gives both services of the route orders the weight 0")
		f.configure(routes(0), services)
	}
	time.Sleep(6 * time.Second)
	cancel()
	wait()
	foreign := 0
	for _, s := range servers {
		own, other := 0, 0
		for _, a := range s.arrivals {
			prefix := "/orders/"
			if s.service == "invoicing" {
				prefix = "/invoices/"
			}
			if strings.HasPrefix(a.path, prefix) {
				own++
			} else {
				other++
			}
		}
		foreign += other
		r.add("%s ran %d requests of its routes and %d of a route that no configuration ever sent to it", s.service, own, other)
	}
	return foreign == 0, nil
}
