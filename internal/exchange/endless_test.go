package exchange_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/sequoiapick/sequoiapick/internal/exchange"
)

// TestBytesWithoutEndAreDropped answers with bytes without end that are no answer, in a head and
// behind a body. The exchange must end well before its deadline and use little memory.
func TestBytesWithoutEndAreDropped(t *testing.T) {
	const (
		deadline  = 10 * time.Second
		maxTime   = 2 * time.Second
		maxMemory = 8 << 20
	)
	head := "HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\n"
	for _, c := range []struct {
		name          string
		start, repeat string
	}{
		{"no head", "", "x"},
		{"a header field", head + "X-Filler: ", "x"},
		{"header fields", head, "X-Filler: x\r\n"},
		{"informational answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
		{"answers to other requests", "", "HTTP/1.1 200 OK\r\nX-Attempt-Id: b\r\nContent-Length: 1\r\n\r\nx"},
		{"the body of an answer to another request", "HTTP/1.1 200 OK\r\nX-Attempt-Id: b\r\n\r\n", "x"},
		{"a chunk size", head + "Transfer-Encoding: chunked\r\n\r\n", "0"},
		{"a trailer", head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-Filler: x\r\n"},
	} {
		closed := make(chan struct{})
		address := serve(t, func(conn net.Conn, _ int) {
			defer close(closed)
			if !skipRequest(bufio.NewReader(conn)) {
				return
			}
			filler := strings.Repeat(c.repeat, 64<<10/len(c.repeat))
			for _, err := io.WriteString(conn, c.start); err == nil; {
				_, err = io.WriteString(conn, filler)
			}
		})
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		ctx, cancel := context.WithTimeout(t.Context(), deadline)
		began := time.Now()
		pool := &exchange.Pool{Clock: clockwork.NewRealClock()}
		conn, err := pool.Open(ctx, address, exchange.OpenOptions{Reuse: exchange.Fresh})
		if err != nil {
			t.Fatal(err)
		}
		answer, err := conn.Do(ctx, request("a"))
		if err == nil {
			_, err = io.Copy(io.Discard, answer.Body)
		}
		took := time.Since(began)
		pool.Discard(conn)
		cancel()
		runtime.ReadMemStats(&after)
		if err == nil {
			t.Errorf("%s: the exchange has an answer, want an error", c.name)
		}
		if took > maxTime {
			t.Errorf("%s: the exchange ended after %v, want at most %v", c.name, took, maxTime)
		}
		if used := after.HeapInuse - min(before.HeapInuse, after.HeapInuse); used > maxMemory {
			t.Errorf("%s: %d bytes of memory are in use, want at most %d", c.name, used, maxMemory)
		}
		select {
		case <-closed:
		case <-time.After(time.Second):
			t.Errorf("%s: the connection is still open", c.name)
		}
	}
}
