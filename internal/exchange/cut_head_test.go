package exchange_test

import (
	"bufio"
	"io"
	"net"
	"testing"

	"github.com/sequoiapick/sequoiapick/internal/exchange"
)

// cutHeads are whole heads of answers, by what is in front of or in them.
var cutHeads = map[string]string{
	"length":               okLine + idLine + "X-Response-Signature: s\r\nContent-Length: 2\r\n\r\n",
	"length of an empty":   okLine + idLine + "X-Response-Signature: s\r\nContent-Length: 0\r\n\r\n",
	"chunks":               okLine + idLine + "X-Response-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n",
	"neither":              okLine + idLine + "X-Response-Signature: s\r\n\r\n",
	"no body":              "HTTP/1.1 204 No Content\r\n" + idLine + "X-Response-Signature: s\r\n\r\n",
	"version 1.0":          "HTTP/1.0 200 OK\r\n" + idLine + "X-Response-Signature: s\r\nContent-Length: 0\r\n\r\n",
	"behind informational": "HTTP/1.1 100 Continue\r\n\r\n" + okLine + idLine + "X-Response-Signature: s\r\nContent-Length: 0\r\n\r\n",
	"behind early hints":   "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + okLine + idLine + "Content-Length: 0\r\n\r\n",
}

// closeOrReset closes a connection, with a reset if that is set.
func closeOrReset(conn net.Conn, reset bool) {
	if tcp, ok := conn.(*net.TCPConn); ok && reset {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// TestHeadThatEndsWithItsConnectionIsNoAnswer ends each head behind each of its bytes. Only the whole head is an answer.
func TestHeadThatEndsWithItsConnectionIsNoAnswer(t *testing.T) {
	for name, head := range cutHeads {
		for _, reset := range []bool{false, true} {
			for sent := range len(head) + 1 {
				address := serve(t, func(conn net.Conn, _ int) {
					if skipRequest(bufio.NewReader(conn)) {
						_, _ = io.WriteString(conn, head[:sent])
						closeOrReset(conn, reset)
					}
				})
				conn, err := newPool().Open(t.Context(), address, exchange.OpenOptions{})
				if err != nil {
					t.Fatal(err)
				}
				answer, err := conn.Do(t.Context(), exchange.Request{Head: []byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"), AttemptID: "a"})
				if sent == len(head) && !reset {
					if err != nil {
						t.Errorf("%s: the whole head isn't accepted: %v", name, err)
					}
					continue
				}
				if sent < len(head) && (err == nil || exchange.NotSent(err)) {
					t.Errorf("%s, %d bytes, reset %v: got %+v, %v, want an error of a request that may have run", name, sent, reset, answer, err)
				}
			}
		}
	}
}
