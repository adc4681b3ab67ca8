package ingress

import (
	"io"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// Responder writes the answer to one request.
type Responder struct {
	conn   *conn
	header *fasthttp.RequestHeader
	close  bool
	http10 bool

	started bool
	ended   bool
	broken  bool
	chunked bool
	left    int64
}

// UnknownLength is the length of an answer whose end isn't known yet.
const UnknownLength = -1

// Started reports whether the head of an answer was written.
func (w *Responder) Started() bool { return w.started }

// Answer writes a whole answer. Fields are complete header lines.
func (w *Responder) Answer(status int, fields, body []byte) error {
	buffer := w.head(status, fields, int64(len(body)))
	if !w.isHead() {
		buffer = append(buffer, body...)
	}
	w.started, w.ended = true, true
	return w.write(buffer)
}

// Start writes the head of an answer whose body follows.
func (w *Responder) Start(status int, fields []byte, length int64) error {
	w.started = true
	w.left = length
	w.chunked = length == UnknownLength && !w.http10
	if length == UnknownLength && w.http10 {
		w.close = true
	}
	return w.write(w.head(status, fields, length))
}

// Write writes a part of the body and sends it at once.
func (w *Responder) Write(p []byte) (int, error) {
	if len(p) == 0 || w.isHead() {
		return len(p), nil
	}
	if !w.chunked {
		w.left -= int64(len(p))
		return len(p), w.write(p)
	}
	buffer := make([]byte, 0, len(p)+16)
	buffer = strconv.AppendInt(buffer, int64(len(p)), 16)
	buffer = append(buffer, "\r\n"...)
	buffer = append(buffer, p...)
	buffer = append(buffer, "\r\n"...)
	return len(p), w.write(buffer)
}

// End marks the body as whole.
func (w *Responder) End() error {
	if !w.chunked && w.left > 0 && !w.isHead() {
		w.Abort()
		return io.ErrUnexpectedEOF
	}
	w.ended = true
	if w.chunked && !w.isHead() {
		return w.write([]byte("0\r\n\r\n"))
	}
	return nil
}

// Abort gives the answer up: the connection is closed before the end of the body.
func (w *Responder) Abort() { w.broken = true }

func (w *Responder) isHead() bool { return w.header.IsHead() }

func (w *Responder) head(status int, fields []byte, length int64) []byte {
	if w.conn.server.draining.Load() {
		w.close = true
	}
	buffer := make([]byte, 0, len(fields)+256)
	buffer = append(buffer, "HTTP/1.1 "...)
	buffer = strconv.AppendInt(buffer, int64(status), 10)
	buffer = append(buffer, ' ')
	buffer = append(buffer, fasthttp.StatusMessage(status)...)
	buffer = append(buffer, "\r\n"...)
	buffer = append(buffer, fields...)
	switch {
	case length >= 0 && status != fasthttp.StatusNoContent && status != fasthttp.StatusNotModified:
		buffer = append(buffer, "Content-Length: "...)
		buffer = strconv.AppendInt(buffer, length, 10)
		buffer = append(buffer, "\r\n"...)
	case length < 0 && !w.http10:
		buffer = append(buffer, "Transfer-Encoding: chunked\r\n"...)
	}
	if w.close {
		buffer = append(buffer, "Connection: close\r\n"...)
	}
	return append(buffer, "\r\n"...)
}

func (w *Responder) write(p []byte) error {
	_ = w.conn.net.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := w.conn.net.Write(p); err != nil {
		w.broken = true
		return err
	}
	return nil
}
