package service

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"time"
)

// Fault holds the numbers of next requests to which each fault is applied. CutEvent is for engines,
// Truncate and Extra are for plain services.
type Fault struct {
	// Lose runs the request and closes the connection without an answer.
	Lose int
	// CutEvent closes the connection in the middle of the third event of the answer.
	CutEvent int
	// Truncate closes the connection in the middle of the body.
	Truncate int
	// Extra sends the answer again before the answer to the next request of the connection.
	Extra int
	// Shed rejects the request, or the call to a stage target, with status 503 as not run.
	Shed int
	// Hang runs the request and never answers.
	Hang int
	// EndlessHead and EndlessBody send bytes that are no answer until the connection is closed: a
	// header field without end, or a body without a length and without a blank line.
	EndlessHead int
	EndlessBody int
	// RetryAfter, if not empty, is the Retry-After header of requests and calls that Shed rejects.
	RetryAfter string
	// RepeatCall is for stage targets: it answers a call with the answer to the last one, then runs it.
	RepeatCall int
	// FailPieces is for stage targets: it answers a call with a failure of each piece.
	FailPieces int
	// CutPlain is for engines: it sends the first event and a part of the second with neither a length
	// nor chunks, then closes the connection.
	CutPlain int
	// Broken sends BrokenAnswer in place of an answer and closes the connection. AttemptMark stands for the
	// ID of the attempt there.
	Broken       int
	BrokenAnswer string
	// Endless sends EndlessStart, in which AttemptMark stands for the ID of the attempt, then EndlessRepeat again
	// and again until the connection is closed.
	Endless                     int
	EndlessStart, EndlessRepeat string
	// CutUpload answers with a part of the answer, with neither a length nor chunks, before it reads the
	// body, and closes the connection.
	CutUpload int
}

// AttemptMark is replaced by the ID of the attempt in Fault.BrokenAnswer and Fault.EndlessStart.
const AttemptMark = "{Attempt}"

// takeFault decrements the number of requests that a fault is left for and reports whether there
// was one.
func takeFault(n *int) bool {
	if *n == 0 {
		return false
	}
	*n--
	return true
}

// crashTime is how long a server is down after a request with its Profile.FatalPart or its Profile.FatalQuery.
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
		s.crashed, s.bornAt = false, time.Now()
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
