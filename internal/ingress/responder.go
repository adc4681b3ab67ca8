package ingress

import (
	"io"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

// Responder writes the answer to one request: either Answer, or Start, any number of Write
// and then End or Abort.
type Responder struct {
	conn   *conn
	header *fasthttp.RequestHeader
	// closeAfter is set if the connection is closed after the answer.
	closeAfter bool
	http10     bool

	// started is set after the head was written, ended after the complete answer.
	started bool
	ended   bool
	// aborted is set if the answer is left incomplete or a write failed.
	aborted bool
	chunked bool
	// unframed is set if the end of the connection marks the end of the body.
	unframed bool
	// remaining is the number of body bytes still to be written, if the length is known.
	remaining int64
	// interrupted is set once nothing more may be written.
	interrupted atomic.Bool
}

// UnknownLength is the length of an answer that is not known when its head is written.
const UnknownLength = -1

// Started reports whether the head of an answer was written.
func (w *Responder) Started() bool { return w.started }

// Answer writes a complete answer. Fields are header lines, each with its line end.
func (w *Responder) Answer(status int, fields, body []byte) error {
	buffer := w.buildHead(status, fields, int64(len(body)))
	w.started, w.ended = true, true
	switch {
	case w.headOnly():
		return w.write(buffer)
	case len(body) > maxCopiedBytes:
		return w.write(buffer, body)
	default:
		return w.write(append(buffer, body...))
	}
}

// maxCopiedBytes is the size up to which a body is copied behind its head. A larger one isn't held twice
// while its client doesn't read.
const maxCopiedBytes = 16 << 10

// Start writes the head of an answer whose body follows; length is its size in bytes or
// UnknownLength. Fields are header lines, each with its line end.
func (w *Responder) Start(status int, fields []byte, length int64) error {
	w.started = true
	w.remaining = length
	w.chunked = length == UnknownLength && !w.http10
	w.unframed = length == UnknownLength && w.http10
	if w.unframed {
		w.closeAfter = true
		w.conn.resetOnClose(true)
	}
	return w.write(w.buildHead(status, fields, length))
}

// Write sends a part of the body without buffering it.
func (w *Responder) Write(p []byte) (int, error) {
	if len(p) == 0 || w.headOnly() {
		return len(p), nil
	}
	if !w.chunked {
		w.remaining -= int64(len(p))
		return len(p), w.write(p)
	}
	if len(p) > maxCopiedChunkBytes {
		size := append(strconv.AppendInt(make([]byte, 0, 16), int64(len(p)), 16), "\r\n"...)
		return len(p), w.write(size, p, chunkEnd)
	}
	buffer := make([]byte, 0, len(p)+16)
	buffer = strconv.AppendInt(buffer, int64(len(p)), 16)
	buffer = append(buffer, "\r\n"...)
	buffer = append(buffer, p...)
	buffer = append(buffer, chunkEnd...)
	return len(p), w.write(buffer)
}

// maxCopiedChunkBytes is the size up to which a chunk is copied between its marks.
const maxCopiedChunkBytes = 1 << 10

var chunkEnd = []byte("\r\n")

// End completes the body. It fails with io.ErrUnexpectedEOF, and aborts the answer, if less
// was written than Start announced.
func (w *Responder) End() error {
	if !w.chunked && w.remaining > 0 && !w.headOnly() {
		w.Abort()
		return io.ErrUnexpectedEOF
	}
	w.ended = true
	if w.chunked && !w.headOnly() {
		return w.write([]byte("0\r\n\r\n"))
	}
	if w.unframed {
		w.conn.resetOnClose(false)
	}
	return nil
}

// Abort leaves the answer incomplete: the connection is closed before the end of the body, so
// that the client detects the truncation.
func (w *Responder) Abort() { w.aborted = true }

// headOnly reports whether the answer must not have a body, as for HEAD.
func (w *Responder) headOnly() bool { return w.header.IsHead() }

// buildHead returns the status line and the header with the fields that frame the body.
func (w *Responder) buildHead(status int, fields []byte, length int64) []byte {
	if w.conn.server.draining.Load() {
		w.closeAfter = true
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
	if w.closeAfter {
		buffer = append(buffer, "Connection: close\r\n"...)
	}
	return append(buffer, "\r\n"...)
}

// Interrupt ends a Write that runs in another goroutine, and fails each later one. The answer is aborted
// unless it is complete. Unlike the other methods, it may be called while another one runs.
func (w *Responder) Interrupt() {
	w.interrupted.Store(true)
	_ = w.conn.net.SetWriteDeadline(time.Unix(1, 0)) // in the past; fails only on a connection that is closed
}

// write writes the parts within writeTimeout.
func (w *Responder) write(parts ...[]byte) error {
	_ = w.conn.net.SetWriteDeadline(time.Now().Add(writeTimeout))
	if w.interrupted.Load() {
		w.aborted = true
		return net.ErrClosed
	}
	buffers := net.Buffers(parts)
	if _, err := buffers.WriteTo(w.conn.net); err != nil {
		w.aborted = true
		return err
	}
	return nil
}
