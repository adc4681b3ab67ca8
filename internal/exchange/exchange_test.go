package exchange_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/sequoiapick/sequoiapick/internal/exchange"
)

// serve runs a target that handles each connection, and returns its address.
func serve(t *testing.T, handle func(conn net.Conn, n int)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for n := 0; ; n++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				handle(conn, n)
			}()
		}
	}()
	return listener.Addr().String()
}

// script answers the requests of a connection with the texts in turn, then waits for the
// connection to close.
func script(answers ...string) func(net.Conn, int) {
	return func(conn net.Conn, _ int) {
		reader := bufio.NewReader(conn)
		for _, answer := range answers {
			if !skipRequest(reader) {
				return
			}
			_, _ = io.WriteString(conn, answer)
		}
		_, _ = io.Copy(io.Discard, reader)
	}
}

func skipRequest(reader *bufio.Reader) bool {
	r, err := http.ReadRequest(reader)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, r.Body)
	return err == nil
}

func answer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func request(id string) exchange.Request {
	return exchange.Request{Head: []byte("GET / HTTP/1.1\r\nHost: t\r\nX-Attempt-Id: " + id + "\r\n\r\n"), AttemptID: id}
}

func newPool() *exchange.Pool { return &exchange.Pool{Clock: clockwork.NewRealClock()} }

// do runs one exchange and returns the body.
func do(t *testing.T, pool *exchange.Pool, address string, use exchange.OpenOptions, r exchange.Request) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	conn, err := pool.Open(ctx, address, use)
	if err != nil {
		return "", err
	}
	a, err := conn.Do(ctx, r)
	if err != nil {
		pool.Discard(conn)
		return "", err
	}
	body, err := io.ReadAll(a.Body)
	if err != nil {
		pool.Discard(conn)
		return string(body), err
	}
	pool.Release(conn)
	return string(body), nil
}

func TestExtraAnswerOfAnEarlierRequestIsDropped(t *testing.T) {
	address := serve(t, script(answer("a", "first"), answer("a", "first again")+answer("b", "second")))
	pool := newPool()
	if body, err := do(t, pool, address, exchange.OpenOptions{}, request("a")); err != nil || body != "first" {
		t.Fatalf("got %q, %v", body, err)
	}
	if body, err := do(t, pool, address, exchange.OpenOptions{}, request("b")); err != nil || body != "second" {
		t.Fatalf("got %q, %v", body, err)
	}
}

func TestConnectionWithBytesBehindItsAnswerIsNotReused(t *testing.T) {
	var connections atomic.Int32
	address := serve(t, func(conn net.Conn, n int) {
		connections.Add(1)
		script(answer("a", "whole")+"HTTP/1.1 200 OK\r\n")(conn, n)
	})
	pool := newPool()
	for range 2 {
		if body, err := do(t, pool, address, exchange.OpenOptions{}, request("a")); err != nil || body != "whole" {
			t.Fatalf("got %q, %v", body, err)
		}
		time.Sleep(20 * time.Millisecond)
	}
	if n := connections.Load(); n != 2 {
		t.Errorf("%d connections, expected 2", n)
	}
}

func TestBrokenOffAnswersAreNotWhole(t *testing.T) {
	broken := map[string]string{
		"length":          "HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nContent-Length: 10\r\n\r\nhalf",
		"chunks":          "HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"inside a chunk":  "HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhalf",
		"missing trailer": "HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n",
	}
	for name, text := range broken {
		address := serve(t, func(conn net.Conn, _ int) {
			skipRequest(bufio.NewReader(conn))
			_, _ = io.WriteString(conn, text)
		})
		if _, err := do(t, newPool(), address, exchange.OpenOptions{}, request("a")); !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("%s: got %v", name, err)
		}
	}
}

func TestAnswerWithoutLengthEndsWithItsConnection(t *testing.T) {
	text := "HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\n\r\nto the end"
	address := serve(t, func(conn net.Conn, _ int) {
		skipRequest(bufio.NewReader(conn))
		_, _ = io.WriteString(conn, text)
	})
	if body, err := do(t, newPool(), address, exchange.OpenOptions{}, request("a")); err != nil || body != "to the end" {
		t.Fatalf("got %q, %v", body, err)
	}
	reset := serve(t, func(conn net.Conn, _ int) {
		skipRequest(bufio.NewReader(conn))
		_, _ = io.WriteString(conn, text)
		time.Sleep(50 * time.Millisecond)
		_ = conn.(*net.TCPConn).SetLinger(0)
	})
	if body, err := do(t, newPool(), reset, exchange.OpenOptions{}, request("a")); err == nil {
		t.Fatalf("an answer whose connection was reset passed as whole: %q", body)
	}
}

func TestClosedIdleConnectionIsNotTaken(t *testing.T) {
	address := serve(t, func(conn net.Conn, _ int) {
		skipRequest(bufio.NewReader(conn))
		_, _ = io.WriteString(conn, answer("a", "x"))
	})
	pool := newPool()
	for range 3 {
		if _, err := do(t, pool, address, exchange.OpenOptions{}, request("a")); err != nil {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func TestFreshRequestsHaveNewConnections(t *testing.T) {
	seen := make(chan int, 10)
	address := serve(t, func(conn net.Conn, n int) {
		seen <- n
		script(answer("a", "x"), answer("a", "x"))(conn, n)
	})
	pool := newPool()
	for range 3 {
		if _, err := do(t, pool, address, exchange.OpenOptions{Reuse: exchange.Fresh}, request("a")); err != nil {
			t.Fatal(err)
		}
	}
	if len(seen) != 3 {
		t.Errorf("%d connections, expected 3", len(seen))
	}
}

func TestShareBoundsTheConnections(t *testing.T) {
	open := make(chan int, 100)
	address := serve(t, func(conn net.Conn, n int) {
		open <- 1
		script(answer("a", "x"), answer("a", "x"), answer("a", "x"))(conn, n)
		open <- -1
	})
	pool := newPool()
	use := exchange.OpenOptions{Reuse: exchange.Fresh, Share: 1}
	for range 5 {
		if _, err := do(t, pool, address, use, request("a")); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(50 * time.Millisecond)
	left := 0
	for len(open) > 0 {
		left += <-open
	}
	if left > 1 {
		t.Errorf("%d connections are open, the share is 1", left)
	}
}

func TestFailedDialProvesThatNothingWasSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	if _, err := do(t, newPool(), address, exchange.OpenOptions{}, request("a")); !exchange.NotSent(err) {
		t.Errorf("got %v", err)
	}
}

func TestSentRequestIsNeverSaidNotToHaveBeenSent(t *testing.T) {
	address := serve(t, func(conn net.Conn, _ int) { skipRequest(bufio.NewReader(conn)) })
	if _, err := do(t, newPool(), address, exchange.OpenOptions{}, request("a")); err == nil || exchange.NotSent(err) {
		t.Errorf("got %v", err)
	}
}

func TestSilentTargetIsLeftAfterTheFirstByteLimit(t *testing.T) {
	address := serve(t, func(conn net.Conn, _ int) { _, _ = io.Copy(io.Discard, conn) })
	r := request("a")
	r.FirstByteTimeout = 50 * time.Millisecond
	began := time.Now()
	if _, err := do(t, newPool(), address, exchange.OpenOptions{}, r); err == nil || time.Since(began) > time.Second {
		t.Errorf("got %v after %v", err, time.Since(began))
	}
}

func TestStalledStreamIsLeft(t *testing.T) {
	address := serve(t, func(conn net.Conn, _ int) {
		skipRequest(bufio.NewReader(conn))
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n")
		_, _ = io.Copy(io.Discard, conn)
	})
	r := request("a")
	r.StallTimeout = 50 * time.Millisecond
	began := time.Now()
	if body, err := do(t, newPool(), address, exchange.OpenOptions{}, r); err == nil || body != "hi" || time.Since(began) > time.Second {
		t.Errorf("got %q, %v after %v", body, err, time.Since(began))
	}
}

func TestCancelledRequestClosesItsConnection(t *testing.T) {
	closed := make(chan struct{})
	address := serve(t, func(conn net.Conn, _ int) {
		_, _ = io.Copy(io.Discard, conn)
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	pool := newPool()
	conn, err := pool.Open(ctx, address, exchange.OpenOptions{})
	if err != nil {
		t.Fatal(err)
	}
	time.AfterFunc(30*time.Millisecond, cancel)
	if _, err := conn.Do(ctx, request("a")); err == nil {
		t.Error("no error")
	}
	select {
	case <-closed:
	case <-time.After(time.Second):
		t.Error("the target still works")
	}
}

// TestEarlyAnswerLeavesTheRestOfTheBodyInOrder answers before the body is read: the next
// request on the connection must not begin inside that body.
func TestEarlyAnswerLeavesTheRestOfTheBodyInOrder(t *testing.T) {
	body := bytes.Repeat([]byte("x"), 4<<20)
	got := make(chan string, 4)
	address := serve(t, func(conn net.Conn, _ int) {
		reader := bufio.NewReader(conn)
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			id := r.Header.Get("X-Attempt-Id")
			_, _ = io.WriteString(conn, answer(id, "early"))
			time.Sleep(50 * time.Millisecond)
			read, err := io.ReadAll(r.Body)
			if err != nil || strings.Trim(string(read), "x") != "" {
				got <- "spoiled body of " + id
				return
			}
			got <- id
		}
	})
	pool := newPool()
	for _, id := range []string{"a", "b"} {
		r := exchange.Request{
			Head:      []byte(fmt.Sprintf("POST / HTTP/1.1\r\nHost: t\r\nX-Attempt-Id: %s\r\nContent-Length: %d\r\n\r\n", id, len(body))),
			Body:      body,
			AttemptID: id,
		}
		began := time.Now()
		if text, err := do(t, pool, address, exchange.OpenOptions{}, r); err != nil || text != "early" {
			t.Fatalf("got %q, %v", text, err)
		}
		if took := time.Since(began); took > 40*time.Millisecond {
			t.Errorf("the early answer was held back for %v", took)
		}
		time.Sleep(200 * time.Millisecond)
	}
	for _, want := range []string{"a", "b"} {
		if id := <-got; id != want {
			t.Errorf("got %q, expected %q", id, want)
		}
	}
}
