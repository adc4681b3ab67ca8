package exchange_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"github.com/sequoiapick/sequoiapick/internal/exchange"
)

// upload returns a request with a body of a size.
func upload(size int) exchange.Request {
	r := request("a")
	r.Body = make([]byte, size)
	r.Head = fmt.Appendf(nil, "POST / HTTP/1.1\r\nHost: t\r\nX-Attempt-Id: a\r\nContent-Length: %d\r\n\r\n", size)
	r.ConfirmStart = func(context.Context) error { return nil }
	return r
}

const unframedHead = "HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\n\r\n"

// TestPartOfAnswerToUploadIsNotComplete answers an upload at once with neither a length nor chunks, and closes
// the connection while the upload is being written, after a part of the answer. What isn't read of the
// upload resets the connection, at times after its clean end was read.
func TestPartOfAnswerToUploadIsNotComplete(t *testing.T) {
	const (
		runs     = 600
		minBytes = 40 << 10
		maxBytes = 4 << 20
		maxPause = 12 * time.Millisecond
		// targetBufferBytes is the size of the target's read buffer.
		targetBufferBytes = 4 << 10
	)
	random := rand.New(rand.NewPCG(41, 0))
	accepted := 0
	for n := range runs {
		// Small bodies and short pauses are the most frequent: the end is clean if it comes before the body.
		size := int(minBytes * math.Pow(maxBytes/minBytes, random.Float64()))
		pause := time.Duration(float64(maxPause) * max(0, 2*random.Float64()-1))
		// The target reads a part of the upload at most, with what its buffer holds.
		read := random.IntN(size-2*targetBufferBytes) * (n / 2 % 2)
		reset := n%4 == 0
		address := serve(t, func(conn net.Conn, _ int) {
			reader := bufio.NewReaderSize(conn, targetBufferBytes)
			if _, err := reader.Peek(1); err != nil {
				return
			}
			_, _ = io.WriteString(conn, unframedHead+"a part")
			_, _ = io.CopyN(io.Discard, reader, int64(read))
			time.Sleep(pause)
			if tcp, ok := conn.(*net.TCPConn); ok && reset {
				_ = tcp.SetLinger(0)
			}
		})
		if body, err := do(t, newPool(), address, exchange.OpenOptions{}, upload(size)); err == nil {
			accepted++
			t.Logf("run %d, %d bytes, %d read, pause %v, reset %v: complete with the body %q", n, size, read, pause, reset, body)
		}
	}
	if accepted > 0 {
		t.Errorf("%d of %d parts count as complete answers", accepted, runs)
	}
}

// TestEarlyAnswerToCompleteUploadIsAccepted answers an upload before it was read, with neither a length nor
// chunks, reads all of it and closes the connection.
func TestEarlyAnswerToCompleteUploadIsAccepted(t *testing.T) {
	for _, size := range []int{0, 1, 40 << 10, 300 << 10, 4 << 20} {
		for _, halfClose := range []bool{false, true} {
			address := serve(t, func(conn net.Conn, _ int) {
				reader := bufio.NewReader(conn)
				if _, err := reader.Peek(1); err != nil {
					return
				}
				_, _ = io.WriteString(conn, unframedHead+"all of it")
				if tcp, ok := conn.(*net.TCPConn); ok && halfClose {
					_ = tcp.CloseWrite()
				}
				skipRequest(reader)
			})
			if body, err := do(t, newPool(), address, exchange.OpenOptions{}, upload(size)); err != nil || body != "all of it" {
				t.Errorf("%d bytes, half-close %v: got %q, %v", size, halfClose, body, err)
			}
		}
	}
}
