package exchange_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"

	"github.com/sequoiapick/sequoiapick/internal/exchange"
)

// TestResetIsNotLostToWriteOfRequestBody answers before a large request body was read and resets the
// connection, so that the write of the body may get the error instead of the read.
func TestResetIsNotLostToWriteOfRequestBody(t *testing.T) {
	const attempts = 200
	var mu sync.Mutex
	address := serve(t, func(conn net.Conn, _ int) {
		mu.Lock()
		defer mu.Unlock()
		_, _ = bufio.NewReader(conn).Peek(1)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\n\r\nid: 1\ndata: x\n\n")
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	})
	r := request("a")
	r.Body = make([]byte, 8<<20)
	r.Head = fmt.Appendf(nil, "POST / HTTP/1.1\r\nHost: t\r\nX-Attempt-Id: a\r\nContent-Length: %d\r\n\r\n", len(r.Body))
	for n := range attempts {
		if body, err := do(t, newPool(), address, exchange.OpenOptions{}, r); err == nil {
			t.Fatalf("attempt %d: a reset answer is complete with the body %q", n, body)
		}
	}
}
