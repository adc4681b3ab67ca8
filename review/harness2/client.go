package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// unreadPatience is how long a client waits for a daemon that doesn't read its request.
const unreadPatience = time.Second

// load sends requests at a steady rate to one daemon, each on a new connection, as clients of the platform
// do.
type load struct {
	record *record
	daemon *daemon
	path   string
	// perSecond is the rate, patience how long a client waits for the next piece of its answer, deadline
	// the value of X-Deadline-Ms.
	perSecond float64
	patience  time.Duration
	deadline  time.Duration
	// last is the last event of a complete answer, 0 for an answer without events.
	last int

	// frozen is set while the daemon is frozen and reads no request.
	frozen   atomic.Bool
	mu       sync.Mutex
	outcomes map[string]int
	wg       sync.WaitGroup
	sent     int
}

// run sends until the context ends, and waits for all answers.
func (l *load) run(ctx context.Context) {
	ticker := time.NewTicker(time.Duration(float64(time.Second) / l.perSecond))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			l.wg.Wait()
			return
		case <-ticker.C:
		}
		l.sent++
		attempt := fmt.Sprintf("%x%06x", len(l.daemon.host), time.Now().UnixNano()&0xffffffffffff)
		l.wg.Add(1)
		go func() {
			defer l.wg.Done()
			began := time.Now()
			l.record.addAt(began, "client sends %s to %s", attempt, l.daemon.host)
			outcome := l.send(attempt)
			l.record.add("client of %s: %s after %d ms", attempt, outcome, time.Since(began).Milliseconds())
			l.mu.Lock()
			if l.outcomes == nil {
				l.outcomes = map[string]int{}
			}
			l.outcomes[outcome]++
			l.mu.Unlock()
		}()
	}
}

// send sends one request and returns what became of it.
func (l *load) send(attempt string) string {
	c, err := net.DialTimeout("tcp", l.daemon.front, time.Second)
	if err != nil {
		return "no connection"
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(l.deadline))
	_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: %s\r\nX-Model: m\r\nX-Token-Usage: 200,20\r\nX-Prompt-Prefix: 5c1e07a2:100,%s:100\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\nContent-Length: 2\r\n\r\nhi",
		l.path, attempt, attempt, l.deadline.Milliseconds(), apiKey)
	if err != nil {
		return "not sent"
	}
	reader := bufio.NewReader(c)
	if !l.awaitRead(c, reader) {
		return "abandoned, since it wasn't read"
	}
	if l.patience > 0 {
		_ = c.SetReadDeadline(time.Now().Add(l.patience))
	}
	answer, err := http.ReadResponse(reader, nil)
	if err != nil {
		return "no answer: " + reason(err)
	}
	body, err := io.ReadAll(answer.Body)
	switch {
	case answer.StatusCode != http.StatusOK:
		return fmt.Sprintf("status %d", answer.StatusCode)
	case err != nil:
		return "cut: " + reason(err)
	case answer.Header.Get("X-Response-Signature") == "":
		return "unsigned success"
	case l.last > 0 && !strings.Contains(string(body), fmt.Sprintf("id: %d\ndata: %s-%d\n\n", l.last, attempt, l.last)):
		return "ends early and looks complete"
	default:
		return "complete"
	}
}

// awaitRead returns false if the daemon hasn't read the request within unreadPatience.
func (l *load) awaitRead(c net.Conn, reader *bufio.Reader) bool {
	_ = c.SetReadDeadline(time.Now().Add(unreadPatience))
	_, err := reader.Peek(1)
	return err == nil || !l.frozen.Load()
}

// reason shortens an error.
func reason(err error) string {
	if e, ok := err.(net.Error); ok && e.Timeout() {
		return "timeout"
	}
	return "closed"
}
