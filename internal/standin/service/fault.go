package service

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"time"
)

// crashTime is how long an engine is down after a request with its Profile.FatalPart.
const crashTime = time.Second

// crash closes the server and its connections, and starts it again after crashTime.
func (s *Server) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.crashed {
		return
	}
	s.crashed = true
	_ = s.http.Close()
	time.AfterFunc(crashTime, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.crashed = false
		if s.stopped {
			return
		}
		listener, err := net.Listen("tcp", s.address)
		if err != nil {
			s.recordViolation("the server can't listen again: %v", err)
			return
		}
		s.serve(listener)
	})
}

// plainHead returns the head of an answer that ends with its connection.
func (s *Server) plainHead(attempt string) string {
	return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt + "\r\nX-Response-Signature: " + s.ID + "." + attempt + "\r\nConnection: close\r\n\r\n"
}

// sendEndless sends the start, then the repeated text until the connection is closed.
func sendEndless(w http.ResponseWriter, start, repeat string) {
	h, ok := w.(http.Hijacker)
	if !ok {
		return
	}
	conn, _, err := h.Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	filler := bytes.Repeat([]byte(repeat), 64<<10/len(repeat)+1)
	for _, err = io.WriteString(conn, start); err == nil; {
		_, err = conn.Write(filler)
	}
}

// sendAndClose sends bytes and closes the connection.
func sendAndClose(w http.ResponseWriter, text string) {
	if h, ok := w.(http.Hijacker); ok {
		if conn, _, err := h.Hijack(); err == nil {
			_, _ = io.WriteString(conn, text)
			_ = conn.Close()
		}
	}
}

// closeConnection closes the connection of a request without completing the answer.
func closeConnection(w http.ResponseWriter) { sendAndClose(w, "") }
