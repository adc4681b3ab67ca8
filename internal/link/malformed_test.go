package link_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"testing"

	"github.com/sequoiapick/sequoiapick/internal/link"
	"github.com/sequoiapick/sequoiapick/internal/standin/raw"
	"github.com/sequoiapick/sequoiapick/pkg/target"
)

const reportAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"

// malformedHeads are heads that would otherwise be those of a whole answer; the length of the body follows.
var malformedHeads = map[string]string{
	"status 000":             "HTTP/1.1 000 OK\r\n",
	"blank in a name":        "HTTP/1.1 200 OK\r\nX A: b\r\n",
	"control byte in a name": "HTTP/1.1 200 OK\r\nX\x01A: b\r\n",
	"folded line":            "HTTP/1.1 200 OK\r\nX-A: b\r\n c\r\n",
}

// startTarget runs a target that sends the answers to the requests of each connection in turn, and returns
// its address.
func startTarget(t *testing.T, answers ...string) string {
	t.Helper()
	return serve(t, func(conn net.Conn, requests *bufio.Reader) {
		for _, answer := range answers {
			if raw.SkipRequest(requests) == nil {
				return
			}
			_, _ = io.WriteString(conn, answer)
		}
	})
}

// serve runs a target until the end of the test and returns its address.
func serve(t *testing.T, handle func(conn net.Conn, requests *bufio.Reader)) string {
	t.Helper()
	address, stop, err := raw.Serve(handle)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	return address
}

func TestMalformedReportIsNotAccepted(t *testing.T) {
	for name, start := range malformedHeads {
		pool := &link.Pool{}
		if _, err := pool.Dial(t.Context(), target.Target{Address: startTarget(t, start+"Content-Length: 2\r\n\r\n{}")}); err == nil || !link.NotSent(err) {
			t.Errorf("%s: got %v, want an error that states that nothing was sent", name, err)
		}
	}
}

func TestMalformedAnswerIsNotAccepted(t *testing.T) {
	body := "{\"Text\":\"x\"}\n{\"End\":{\"Attempt\":\"a\",\"Bytes\":1}}\n"
	rest := fmt.Sprintf("Attempt-Id: a\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	send := func(start string) error {
		pool := &link.Pool{}
		conn, err := pool.Dial(t.Context(), target.Target{Address: startTarget(t, reportAnswer, start+rest), EchoesAttempt: true})
		if err != nil {
			t.Fatal(err)
		}
		defer pool.Close(conn)
		_, err = conn.Send(context.Background(), link.Attempt{ID: "a", Kind: "llm"}, func([]byte) error { return nil })
		return err
	}
	if err := send("HTTP/1.1 200 OK\r\n"); err != nil {
		t.Fatalf("a sound answer: %v", err)
	}
	for name, start := range malformedHeads {
		if err := send(start); err == nil || link.NotSent(err) {
			t.Errorf("%s: got %v, want an error that doesn't state that nothing was sent", name, err)
		}
	}
}

// TestHeadThatEndsWithItsConnectionIsNoAnswer ends the heads of a report and of an answer behind each byte.
func TestHeadThatEndsWithItsConnectionIsNoAnswer(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nContent-Length: 2\r\n\r\n"
	for sent := range len(head) {
		pool := &link.Pool{}
		if _, err := pool.Dial(t.Context(), target.Target{Address: startTarget(t, head[:sent])}); err == nil || !link.NotSent(err) {
			t.Errorf("report, %d bytes: got %v, want an error that states that nothing was sent", sent, err)
		}
		conn, err := pool.Dial(t.Context(), target.Target{Address: startTarget(t, reportAnswer, head[:sent]), EchoesAttempt: true})
		if err != nil {
			t.Fatal(err)
		}
		if _, err = conn.Send(context.Background(), link.Attempt{ID: "a", Kind: "llm"}, func([]byte) error { return nil }); err == nil || link.NotSent(err) {
			t.Errorf("answer, %d bytes: got %v, want an error that doesn't state that nothing was sent", sent, err)
		}
		pool.Close(conn)
	}
}
