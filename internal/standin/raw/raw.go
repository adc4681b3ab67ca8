// Package raw is a stand-in for servers that send bytes which an HTTP library wouldn't, for tests.
//
// # Usage
//
//	address, stop, err := raw.Serve(func(conn net.Conn, requests *bufio.Reader) {
//		if raw.SkipRequest(requests) != nil {
//			_, _ = io.WriteString(conn, "HTTP/1.1 000 OK\r\n\r\n")
//		}
//	})
//	defer stop()
package raw

import (
	"bufio"
	"io"
	"net"
	"net/http"
)

// Serve accepts connections on a free port of the loopback address until stop is called. It calls handle for each,
// with the reader of its requests, and closes the connection behind it.
func Serve(handle func(conn net.Conn, requests *bufio.Reader)) (address string, stop func(), err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				handle(conn, bufio.NewReader(conn))
			}()
		}
	}()
	return listener.Addr().String(), func() { _ = listener.Close() }, nil
}

// SkipRequest reads a request with its body and returns it; nil means that the connection has ended or the request is
// malformed.
func SkipRequest(requests *bufio.Reader) *http.Request {
	r, err := http.ReadRequest(requests)
	if err != nil {
		return nil
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return nil
	}
	return r
}

// SendEndless sends the start, then the repeated text until the connection is closed.
func SendEndless(w io.Writer, start, repeat string) {
	const blockBytes = 64 << 10
	block := []byte(start)
	for _, err := w.Write(block); err == nil; _, err = w.Write(block) {
		block = block[:0]
		for len(block) < blockBytes {
			block = append(block, repeat...)
		}
	}
}
