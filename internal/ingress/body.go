package ingress

import (
	"bufio"
	"errors"
	"io"
	"net/http/httputil"
	"os"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/sequoiapick/sequoiapick/internal/head"
	"github.com/sequoiapick/sequoiapick/internal/memory"
	"github.com/sequoiapick/sequoiapick/pkg/route"
)

// RequestBytes is the memory of a request besides its body and the read-ahead part of its answer, in
// bytes: the buffers for heads of the client and of a target, the copies of the fields, a buffer of the
// answer for each direction, and the stacks of three goroutines. TestMemoryOfManySlowClients measures it.
const RequestBytes = 64 << 10

// admit opens the holder of the next request and reserves RequestBytes. Without memory it answers that
// the request wasn't run, before its head is read, and returns false.
func (c *conn) admit() bool {
	c.holder = c.server.Memory.Open("")
	if c.holder.TryAcquire(memory.Request, RequestBytes) {
		return true
	}
	c.holder.Close()
	c.server.inFlight.Add(1)
	defer c.server.inFlight.Done()
	return c.reject(&Responder{conn: c, header: &fasthttp.RequestHeader{}}, fasthttp.StatusServiceUnavailable, "no memory for another request")
}

// readBody returns the body of a request. The caller must call release when the body is no
// longer in use. If ok is false, the request was rejected or the connection has ended.
func (c *conn) readBody(w *Responder, f framing, limits route.Limits) (body []byte, release func(), ok bool) {
	release = func() {}
	if !f.hasBody || f.length == 0 {
		return nil, release, true
	}
	if f.expectsContinue {
		if _, err := c.net.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return nil, release, false
		}
	}
	_ = c.net.SetReadDeadline(c.server.Now().Add(bodyTimeout))
	if c.server.Memory != nil && f.length < 0 {
		body, ok = c.readCountedChunks(w, limits)
		return body, release, ok
	}
	if f.length > 0 {
		reserved := f.length
		if !c.reserveBodyBytes(reserved) {
			return nil, release, c.reject(w, fasthttp.StatusServiceUnavailable, noMemoryForBody)
		}
		release = func() { c.server.releaseBodyBytes(reserved) }
		body = make([]byte, f.length)
		if _, err := io.ReadFull(c.reader, body); err != nil {
			return nil, release, c.rejectUnreadBody(w, err)
		}
		return body, release, true
	}
	// The length of a chunked body is unknown, so the maximum is reserved.
	reserved := int64(limits.BodyBytes)
	if !c.reserveBodyBytes(reserved) {
		return nil, release, c.reject(w, fasthttp.StatusServiceUnavailable, noMemoryForBody)
	}
	release = func() { c.server.releaseBodyBytes(reserved) }
	body, err := io.ReadAll(io.LimitReader(httputil.NewChunkedReader(c.reader), int64(limits.BodyBytes)+1))
	if err != nil {
		return nil, release, c.rejectUnreadBody(w, err)
	}
	if len(body) > limits.BodyBytes {
		return nil, release, c.reject(w, fasthttp.StatusRequestEntityTooLarge, "the body is larger than the limit")
	}
	if err := skipTrailer(c.reader); err != nil {
		return nil, release, c.rejectUnreadBody(w, err)
	}
	return body, release, true
}

// noMemoryForBody is the reason of a rejection for lack of memory.
const noMemoryForBody = "no memory for the body"

// reserveBodyBytes counts n bytes as used by the body of the present request, or returns false if they
// exceed the budget or MaxTotalBodyBytes. Those of the budget are released when the request has ended.
func (c *conn) reserveBodyBytes(n int64) bool {
	s := c.server
	if s.Memory != nil {
		return c.holder.TryAcquire(memory.Request, n)
	}
	if total := s.bodyBytes.Add(n); s.MaxTotalBodyBytes > 0 && total > s.MaxTotalBodyBytes {
		s.bodyBytes.Add(-n)
		return false
	}
	return true
}

func (s *Server) releaseBodyBytes(n int64) {
	if s.Memory == nil {
		s.bodyBytes.Add(-n)
	}
}

// firstChunkedBytes is the memory that is reserved first for a chunked body, whose length is unknown. It
// is doubled whenever it is full.
const firstChunkedBytes = 16 << 10

// readCountedChunks returns a chunked body, whose memory it takes from the budget as the body grows. If ok
// is false, the request was rejected or the connection has ended.
func (c *conn) readCountedChunks(w *Responder, limits route.Limits) (body []byte, ok bool) {
	chunks := httputil.NewChunkedReader(c.reader)
	for {
		if len(body) == cap(body) {
			// While it is copied, the old memory is still held.
			size := max(2*cap(body), firstChunkedBytes)
			if !c.reserveBodyBytes(int64(size)) {
				return nil, c.reject(w, fasthttp.StatusServiceUnavailable, noMemoryForBody)
			}
			old := int64(cap(body))
			body = append(make([]byte, 0, size), body...)
			c.holder.Release(memory.Request, old)
		}
		n, err := chunks.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case len(body) > limits.BodyBytes:
			return nil, c.reject(w, fasthttp.StatusRequestEntityTooLarge, "the body is larger than the limit")
		case errors.Is(err, io.EOF):
			if err := skipTrailer(c.reader); err != nil {
				return nil, c.rejectUnreadBody(w, err)
			}
			return body, true
		case err != nil:
			return nil, c.rejectUnreadBody(w, err)
		}
	}
}

// rejectUnreadBody answers a request whose body could not be read, unless the client has
// closed the connection. It returns false: the connection is closed.
func (c *conn) rejectUnreadBody(w *Responder, err error) bool {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return c.reject(w, fasthttp.StatusRequestTimeout, "the body took too long")
	case isClosed(err) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF):
		return false
	default:
		return c.reject(w, fasthttp.StatusBadRequest, "malformed body")
	}
}

// maxTrailerLines bounds the number of trailer lines of a chunked body.
const maxTrailerLines = 32

// skipTrailer reads and drops the trailer of a chunked body.
func skipTrailer(r *bufio.Reader) error {
	for range maxTrailerLines {
		line, err := r.ReadSlice('\n')
		if err != nil {
			return err
		}
		field, ok := strings.CutSuffix(string(line), "\r\n")
		if !ok {
			return errMalformedTrailer
		}
		if field == "" {
			return nil
		}
		if err := head.CheckField(field); err != nil {
			return err
		}
	}
	return errMalformedTrailer
}

var errMalformedTrailer = errors.New("malformed trailer")
