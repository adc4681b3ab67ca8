package link_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/sequoiapick/sequoiapick/internal/link"
	"github.com/sequoiapick/sequoiapick/internal/standin/raw"
	"github.com/sequoiapick/sequoiapick/pkg/target"
)

// startEndless runs a target that answers the first request of each connection with a report, unless the report
// is the endless answer, and the next with the start and then the repeated text until the connection is closed.
func startEndless(t *testing.T, reports bool, start, repeat string) string {
	t.Helper()
	return serve(t, func(conn net.Conn, requests *bufio.Reader) {
		if raw.SkipRequest(requests) == nil {
			return
		}
		if reports {
			_, _ = io.WriteString(conn, reportAnswer)
			if raw.SkipRequest(requests) == nil {
				return
			}
		}
		raw.SendEndless(conn, start, repeat)
	})
}

// TestAnswersWithoutEndAreDropped answers with bytes without end. What is passed on and what is allocated must
// be bounded, and the exchange must end before its deadline.
func TestAnswersWithoutEndAreDropped(t *testing.T) {
	const (
		deadline  = 5 * time.Second
		maxMemory = 128 << 20
		ok        = "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\n"
		frame     = `{"Text":"` + "0123456789" + `"}` + "\n"
	)
	largeFrame := `{"Text":"` + strings.Repeat("x", 32<<10) + `"}` + "\n"
	for _, c := range []struct{ name, start, repeat string }{
		{"no head", "", "x"},
		{"a header field", ok + "X-A: ", "x"},
		{"header fields", ok, "X-A: b\r\n"},
		{"a line", ok + "\r\n", "x"},
		{"a line with a length", ok + "Content-Length: 1000000000000\r\n\r\n", "x"},
		{"a line in chunks", ok + "Transfer-Encoding: chunked\r\n\r\n", "4\r\nxxxx\r\n"},
		{"frames", ok + "\r\n", largeFrame},
		{"frames with a length", ok + "Content-Length: 1000000000000\r\n\r\n", largeFrame},
		{"frames behind the end", ok + "\r\n{\"End\":{\"Attempt\":\"a\",\"Bytes\":0}}\n", frame},
		{"bytes behind the end", ok + "\r\n{\"End\":{\"Attempt\":\"a\",\"Bytes\":0}}\n", "x"},
	} {
		for name, reports := range map[string]bool{"report": false, "answer": true} {
			contract := target.Target{Address: startEndless(t, reports, c.start, c.repeat), EchoesAttempt: true}
			ctx, cancel := context.WithTimeout(t.Context(), deadline)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			began, passed := time.Now(), 0
			pool := &link.Pool{}
			conn, err := pool.Dial(ctx, contract)
			if err == nil {
				_, err = conn.Send(ctx, link.Attempt{ID: "a", Kind: "llm"}, func(text []byte) error {
					passed += len(text)
					return nil
				})
				pool.Close(conn)
			}
			took := time.Since(began)
			cancel()
			runtime.ReadMemStats(&after)
			if err == nil {
				t.Errorf("%s, %s: complete", name, c.name)
			}
			if took >= deadline || passed > link.MaxAnswerBytes {
				t.Errorf("%s, %s: ended after %v with %d bytes, want at most %d before the deadline", name, c.name, took, passed, link.MaxAnswerBytes)
			}
			if used := after.TotalAlloc - before.TotalAlloc; used > maxMemory {
				t.Errorf("%s, %s: %d bytes were allocated, want at most %d", name, c.name, used, maxMemory)
			}
		}
	}
}
