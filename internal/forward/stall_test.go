package forward_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sequoiapick/sequoiapick/pkg/route"
)

// startTrickling runs a target. It answers its first request, of all targets that share the count, with
// one event and then a byte every 100 ms that completes no other; the others with the events after the
// last one that the client has, slow pauses before each.
func startTrickling(t *testing.T, requests *atomic.Int32, pause time.Duration) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				r, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("X-Attempt-Id"))
				chunk := func(text string) {
					if err == nil {
						_, err = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text)
					}
				}
				if requests.Add(1) == 1 {
					for chunk("id: 1\ndata: x1\n\n"); err == nil; time.Sleep(100 * time.Millisecond) {
						chunk(":")
					}
					return
				}
				for n := 1; n <= streamEvents; n++ {
					if id := fmt.Sprint(n); id > r.Header.Get("Last-Event-Id") {
						time.Sleep(pause)
						chunk("id: " + id + "\ndata: x" + id + "\n\n")
					}
				}
				_, _ = io.WriteString(conn, "0\r\n\r\n")
			}()
		}
	}()
	return listener.Addr().String()
}

// TestStreamThatTricklesIsResumed has an engine send a byte now and then, but no event. The other engine is
// slow and must not be cut off.
func TestStreamThatTricklesIsResumed(t *testing.T) {
	var requests atomic.Int32
	const pause = 1200 * time.Millisecond
	r := route.Route{Kind: route.Streaming, Resumable: true, MaxAttempts: 2}
	address := startForwarderTo(t, r, map[string]string{"i-1": startTrickling(t, &requests, pause), "i-2": startTrickling(t, &requests, pause)})
	body, complete, err := get(address, "1.1")
	if want := (&targets{events: true}).text(""); err != nil || !complete || body != want {
		t.Errorf("got %q, complete %v, %v, want %q", body, complete, err, want)
	}
}
