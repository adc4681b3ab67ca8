// Command harness plays one case of the review: it starts stand-ins of the store and the servers, the
// daemons as separate processes, and clients, and checks one rule. It exits with 1 if the rule was
// broken, 0 if it held and 2 if the case couldn't run.
//
//	harness CASE RECORD TROUBLE
//
// RECORD is the file for what was sent, answered and run, record.txt in the folder of the case.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// cases are the cases by name.
var cases = map[string]func(*play) error{
	"repeated-call": repeatedCall,
	"reborn":        reborn,
}

// play is one run of a case.
type play struct {
	record  *record
	store   *store
	world   *world
	trouble bool
	dir     string
	hosts   []*host
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE RECORD 0|1")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3] != "0"))
}

func run(name, recordPath string, trouble bool) int {
	r, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = os.RemoveAll(dir) }()
	p := &play{record: r, trouble: trouble, dir: dir}
	defer p.end()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, os.Interrupt)
	done := make(chan error, 1)
	go func() { done <- cases[name](p) }()
	select {
	case <-ended:
		return 2
	case err = <-done:
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		for _, h := range p.hosts {
			if content, err := os.ReadFile(filepath.Join(h.dir, "log")); err == nil {
				_ = os.WriteFile(filepath.Join(keep, h.name+".log"), content, 0o600)
			}
		}
	}
	switch {
	case err != nil:
		r.add("the case couldn't run: %v", err)
		fmt.Println("the case couldn't run:", err)
		return 2
	case r.count() > 0:
		fmt.Printf("the rule was broken %d times\n", r.count())
		return 1
	}
	fmt.Println("the rule held")
	return 0
}

// startHosts starts the store's clients: n daemons, and waits until they are ready.
func (p *play) startHosts(n int) error {
	for i := range n {
		h, err := startHost(i, p.store.address, p.dir)
		if h != nil && h.command != nil && h.command.Process != nil {
			p.hosts = append(p.hosts, h)
		}
		if err != nil {
			return err
		}
	}
	for _, h := range p.hosts {
		if err := h.awaitReady(); err != nil {
			return err
		}
	}
	return nil
}

// startWorld starts the store.
func (p *play) startWorld() error {
	s, err := startStore("127.4.0.2")
	if err != nil {
		return err
	}
	p.store = s
	p.world = &world{store: s, record: p.record, owner: map[string]pieceOf{}, holder: map[string]*server{}}
	return nil
}

// configure writes the configuration.
func (p *play) configure(version int, routes, services []map[string]any) {
	p.store.put("op", "config", map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": "bozi300", "apiKeys": []string{"9dnn2ctnfzs989anu6ws"}, "priority": 1}},
	})
}

// end ends all processes that were started.
func (p *play) end() {
	for _, h := range p.hosts {
		h.end()
	}
}
