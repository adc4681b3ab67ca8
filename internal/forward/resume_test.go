package forward_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/sequoiapick/sequoiapick/internal/memory"
	"github.com/sequoiapick/sequoiapick/internal/standin/raw"
	"github.com/sequoiapick/sequoiapick/pkg/route"
)

// streamLength is the number of events of the stream of the resume tests; cutEvents of them reach the client before
// it breaks off.
const streamLength, cutEvents = 6, 2

// event returns the nth event of the stream.
func event(n int) string { return fmt.Sprintf("id: %d\ndata: x%d\n\n", n, n) }

// eventsFrom returns the events of the stream from the nth to the last.
func eventsFrom(n int) string {
	var text strings.Builder
	for ; n <= streamLength; n++ {
		text.WriteString(event(n))
	}
	return text.String()
}

// startBroken runs a target that answers the first request that any of them gets with the first events and a part of
// the next one, and each later one with the later answer.
func startBroken(t *testing.T, requests *atomic.Int32, first, later string) string {
	t.Helper()
	address, stop, err := raw.Serve(func(conn net.Conn, calls *bufio.Reader) {
		r := raw.SkipRequest(calls)
		if r == nil || r.Header.Get("X-Attempt-Id") == "" {
			return
		}
		if requests.Add(1) == 1 {
			_, _ = io.WriteString(conn, first)
			return
		}
		_, _ = io.WriteString(conn, later)
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	return address
}

// The heads of answers without the fields of their framing: one that states no type, and that of a stream.
const (
	untypedHead = "HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Response-Signature: s\r\n"
	streamHead  = untypedHead + "Content-Type: text/event-stream\r\n"
)

// headOfType returns a head that states a media type.
func headOfType(mediaType string) string { return untypedHead + "Content-Type: " + mediaType + "\r\n" }

// framed returns a whole answer with a framing; unlike frame it takes any head.
func framed(framing, head, body string) string {
	switch framing {
	case "length":
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	case "chunks":
		if body == "" {
			return head + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
		}
		return fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(body), body)
	default:
		return head + "\r\n" + body
	}
}

// TestBrokenStreamIsOnlyContinued breaks a stream off after some events. Whatever the next target answers, the
// client must have the beginning of the stream, and take it for complete only if it is.
func TestBrokenStreamIsOnlyContinued(t *testing.T) {
	const html = "<html>\n\n<body>error</body>\n\n</html>\n\n"
	type answer struct {
		name, head, body string
		// continues is set if the body is the rest of the stream.
		continues bool
	}
	answers := []answer{
		{"the rest", streamHead, eventsFrom(cutEvents + 1), true},
		{"the rest without a type", untypedHead, eventsFrom(cutEvents + 1), true},
		{"the rest behind a comment", streamHead, ": hello\n\n" + eventsFrom(cutEvents+1), true},
		{"the rest with parameters of the type", headOfType("text/event-stream; charset=utf-8"), eventsFrom(cutEvents + 1), true},
		{"a page", headOfType("text/html"), html, false},
		{"a page as a stream", streamHead, html, false},
		{"a page without a type", untypedHead, html, false},
		{"an empty page", headOfType("text/html"), "", false},
		{"an empty answer without a type", untypedHead, "", false},
		{"JSON", headOfType("application/json"), `{"error":"x"}` + "\n\n", false},
		{"the rest of another type", headOfType("text/plain"), eventsFrom(cutEvents + 1), false},
		{"the rest with a coding", streamHead + "Content-Encoding: gzip\r\n", eventsFrom(cutEvents + 1), false},
		{"the stream from its start", streamHead, eventsFrom(1), false},
		{"the last event again", streamHead, eventsFrom(cutEvents), false},
		{"the stream behind a gap", streamHead, eventsFrom(cutEvents + 2), false},
		{"the last event only", streamHead, eventsFrom(streamLength), false},
		{"events without IDs", streamHead, strings.ReplaceAll(eventsFrom(cutEvents+1), "id: ", "x: "), false},
		{"an error event, then the rest", streamHead, "event: error\ndata: x\n\n" + eventsFrom(cutEvents+1), false},
		{"a head in the body", streamHead, "HTTP/1.1 500 Internal Server Error\r\n\r\nerror\n\n", false},
	}
	for status := 201; status < 600; status++ {
		if status >= 400 || status == 201 || status == 204 || status == 206 || status == 302 || status == 304 {
			head := strings.Replace(streamHead, "200 OK", fmt.Sprintf("%d X", status), 1)
			answers = append(answers, answer{fmt.Sprintf("status %d", status), head, "data: error\n\n", false})
		}
	}
	for _, framing := range []string{"length", "chunks", "neither"} {
		for _, budget := range []*memory.Budget{nil, memory.New(10_000_000)} {
			for n, a := range answers {
				// All statuses in one framing and a part of them in the others, since each run leaves ports behind
				// that can't be used for a minute.
				if strings.HasPrefix(a.name, "status") && n%7 != 0 && (framing != "length" || budget != nil) {
					continue
				}
				var requests atomic.Int32
				first := framed("neither", streamHead, eventsFrom(1)[:len(event(1))*cutEvents+3])
				later := framed(framing, a.head, a.body)
				addresses := map[string]string{"i-1": startBroken(t, &requests, first, later), "i-2": startBroken(t, &requests, first, later)}
				address := startForwarderWith(t, route.Route{Kind: route.Streaming, Resumable: true, MaxAttempts: 2}, addresses, budget)
				got, complete, err := get(address, "1.1")
				name := fmt.Sprintf("%s, %s, budget %v", a.name, framing, budget != nil)
				// An answer that ends with its connection is whole only if its target confirms its start, which
				// these don't.
				want := a.continues && framing != "neither"
				switch {
				case err != nil:
					t.Errorf("%s: %v", name, err)
				case complete != want:
					t.Errorf("%s: complete is %v with %q", name, complete, got)
				case complete && strings.ReplaceAll(got, ": hello\n\n", "") != eventsFrom(1):
					t.Errorf("%s: got %q", name, got)
				case !complete && !strings.HasPrefix(eventsFrom(1), strings.ReplaceAll(got, ": hello\n\n", "")):
					t.Errorf("%s: the client has %q", name, got)
				}
			}
		}
	}
}

// TestStreamWithoutIDsIsNotResumed breaks a stream off behind what no other answer can go on from: an event without an
// ID, or what is no event.
func TestStreamWithoutIDsIsNotResumed(t *testing.T) {
	for _, sent := range []string{"data: x1\n\n", event(1) + "data: x2\n\n", "<html>\n\n"} {
		var requests atomic.Int32
		later := framed("length", streamHead, eventsFrom(1))
		first := framed("neither", streamHead, sent+"dat")
		addresses := map[string]string{"i-1": startBroken(t, &requests, first, later), "i-2": startBroken(t, &requests, first, later)}
		got, complete, err := get(startForwarderTo(t, route.Route{Kind: route.Streaming, Resumable: true, MaxAttempts: 2}, addresses), "1.1")
		if err != nil || complete || got != sent {
			t.Errorf("%q: got %q, complete %v, %v", sent, got, complete, err)
		}
	}
}
