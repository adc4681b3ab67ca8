package forward_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sequoiapick/sequoiapick/internal/dispatch"
	"github.com/sequoiapick/sequoiapick/pkg/route"
)

// sendWithDeadline sends a request, whose only stage has a number of pieces, and returns the connection.
func sendWithDeadline(t *testing.T, address string, deadline time.Duration, pieces int) *bufio.Reader {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	_, err = fmt.Fprintf(conn, "GET /2f HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a1\r\nX-Deadline-Ms: %d\r\nX-Pieces: %d\r\nX-Piece-Key: k\r\nX-Model: m\r\nX-Token-Usage: 10,10\r\nX-Prompt-Prefix: 5c:10\r\n\r\n", deadline.Milliseconds(), pieces)
	if err != nil {
		t.Fatal(err)
	}
	return bufio.NewReader(conn)
}

// TestStopPassesOnWhatEndsBeforeIt sends requests during a stop. Only those whose deadline is before the end of
// the stop are passed on; the others are rejected at once as not run.
func TestStopPassesOnWhatEndsBeforeIt(t *testing.T) {
	const left = 2 * time.Second
	for _, r := range crashRoutes() {
		for deadline, passedOn := range map[time.Duration]bool{left / 2: true, 2 * left: false} {
			ts := &targets{cut: cut{framing: "length"}, events: r.events}
			f, address := startForwarderOf(t, r.route, map[string]string{"i-1": ts.start(t), "i-2": ts.start(t)}, forwarderOptions{})
			f.AnnounceStop(time.Now().Add(left))
			answer, err := http.ReadResponse(sendWithDeadline(t, address, deadline, 0), nil)
			if err != nil {
				t.Fatalf("%s, deadline %v: %v", r.name, deadline, err)
			}
			body, err := io.ReadAll(answer.Body)
			switch {
			case passedOn && (answer.StatusCode != http.StatusOK || err != nil || string(body) != ts.text("")):
				t.Errorf("%s, deadline %v: got %d, %q, %v, want the whole answer", r.name, deadline, answer.StatusCode, body, err)
			case !passedOn && (answer.StatusCode != http.StatusServiceUnavailable || answer.Header.Get("Retry-After") != "0.01"):
				t.Errorf("%s, deadline %v: got %d with Retry-After %q, want 503 with 0.01", r.name, deadline, answer.StatusCode, answer.Header.Get("Retry-After"))
			}
		}
	}
}

// TestStopRejectsWaitingRequestThatRunsOnce announces a stop while a request waits for its stage. If it can outlast
// the stop, it is rejected at once unless it may be repeated.
func TestStopRejectsWaitingRequestThatRunsOnce(t *testing.T) {
	const left = time.Second
	silent, err := net.Listen("tcp", "127.0.0.1:0") // accepts calls and never answers them
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = silent.Close() })
	for _, c := range []struct {
		resumable, rejected bool
		deadline            time.Duration
	}{{false, true, 4 * left}, {true, false, 4 * left}, {false, false, left / 2}} {
		f, address := startForwarderOf(t, route.Route{Kind: route.Streaming, Resumable: c.resumable, MaxAttempts: 2, Stages: []route.Stage{{Service: "stage"}}},
			map[string]string{"i-1": "127.0.0.1:1"}, forwarderOptions{stageTargets: []dispatch.Target{{ID: "s-1", Service: "stage", Address: silent.Addr().String()}}})
		reader := sendWithDeadline(t, address, c.deadline, 1)
		time.Sleep(100 * time.Millisecond) // the request was read
		f.AnnounceStop(time.Now().Add(left))
		answered := make(chan string, 1)
		go func() {
			line, _ := reader.ReadString('\n') // empty if there is no answer
			answered <- line
		}()
		select {
		case line := <-answered:
			if !c.rejected || !strings.Contains(line, "503") {
				t.Errorf("%+v: got %q", c, line)
			}
		case <-time.After(200 * time.Millisecond):
			if c.rejected {
				t.Errorf("%+v: the request isn't rejected", c)
			}
		}
	}
}
