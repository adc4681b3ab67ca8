// Command harness2 runs the scripts of the second review: each case starts the daemons as separate
// processes and stand-ins of the store, the servers and the clients, and judges one rule.
//
// # Usage
//
//	harness2 CASE RECORD
//
// TROUBLE=0 in the environment leaves the disruption out. The exit status is 1 if the rule was broken, 0 if
// it held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"time"
)

// record is what a case writes to its record file.
type record struct {
	began time.Time
	mu    sync.Mutex
	lines []string
}

// add adds a line with the present time.
func (r *record) add(format string, args ...any) { r.addAt(time.Now(), format, args...) }

// addAt adds a line with a time.
func (r *record) addAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, fmt.Sprintf("%9.3f s  %s", at.Sub(r.began).Seconds(), fmt.Sprintf(format, args...)))
}

// write writes the lines to the file.
func (r *record) write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return os.WriteFile(path, []byte(strings.Join(r.lines, "\n")+"\n"), 0o644)
}

// cases are the cases by name. Each returns whether the rule held; an error means that it couldn't run.
var cases = map[string]func(r *record, trouble bool) (held bool, err error){
	"cold-stale":    coldStale,
	"zero-weights":  zeroWeights,
	"cold-outage":   coldOutage,
	"cold-replaced": coldReplaced,
}

// longest is the longest time that a case takes.
const longest = 115 * time.Second

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness2 CASE RECORD")
		os.Exit(2)
	}
	r := &record{began: time.Now()}
	// The processes end with the case, also if it is ended from outside or takes too long.
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, os.Interrupt)
	go func() {
		select {
		case <-ended:
		case <-time.After(longest):
		}
		killAll()
		os.Exit(2)
	}()
	held, err := cases[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.add("couldn't run: %v", err)
	case held:
		r.add("the rule held")
	default:
		r.add("the rule was broken")
	}
	fmt.Println(strings.Join(r.lines[max(len(r.lines)-12, 0):], "\n"))
	if writeErr := r.write(os.Args[2]); writeErr != nil && err == nil {
		err = writeErr
	}
	switch {
	case err != nil:
		os.Exit(2)
	case !held:
		os.Exit(1)
	}
}
