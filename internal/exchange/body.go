package exchange

import (
	"bufio"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/sequoiapick/sequoiapick/internal/head"
)

// emptyBody is a body without bytes.
type emptyBody struct{}

func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }

// stallReader bounds the time in which a body makes no progress.
type stallReader struct {
	conn    *Conn
	reader  io.Reader
	timeout time.Duration
	// limit is when the body counts as stalled.
	limit time.Time
}

// Read implements io.Reader.
func (s *stallReader) Read(p []byte) (int, error) {
	s.conn.setReadLimit(s.limit)
	return s.reader.Read(p)
}

// progressed starts the timeout anew.
func (s *stallReader) progressed() { s.limit = time.Now().Add(s.timeout) }

// body reads the body of an answer. At its end it marks the connection as reusable, if the
// answer allows that.
type body struct {
	conn      *Conn
	reader    io.Reader
	hasLength bool
	// remaining is the number of unread bytes, if the body has a length.
	remaining int64
	// reusable is set if the target keeps the connection open after the answer.
	reusable bool
	// confirmEnd is called at the end of a body that ends with its connection; an error means that
	// the body may be incomplete.
	confirmEnd func() error
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.reader.Read(p)
	if b.hasLength {
		b.remaining -= int64(n)
		if b.remaining > 0 && err == io.EOF {
			return n, io.ErrUnexpectedEOF
		}
		if b.remaining == 0 && err == nil {
			err = io.EOF
		}
	}
	if err == io.EOF && b.confirmEnd != nil {
		if failed := b.confirmEnd(); failed != nil {
			return n, failed
		}
	}
	if err == io.EOF {
		b.conn.reusable = b.reusable
	}
	return n, err
}

// chunkedReader reads a chunked body including its trailer, which is dropped.
type chunkedReader struct {
	reader *bufio.Reader
	chunks io.Reader
	ended  bool
}

// Read implements io.Reader.
func (c *chunkedReader) Read(p []byte) (int, error) {
	if c.ended {
		return 0, io.EOF
	}
	n, err := c.chunks.Read(p)
	if err != io.EOF {
		return n, err
	}
	for range maxTrailerLines {
		line, err := c.reader.ReadSlice('\n')
		if err != nil {
			return n, io.ErrUnexpectedEOF
		}
		field, ok := strings.CutSuffix(string(line), "\r\n")
		if !ok {
			return n, fmt.Errorf("%w: a line of the trailer ends without CR", io.ErrUnexpectedEOF)
		}
		if field == "" {
			c.ended = true
			return n, io.EOF
		}
		if err := head.CheckField(field); err != nil {
			return n, fmt.Errorf("%w: trailer: %v", io.ErrUnexpectedEOF, err)
		}
	}
	return n, io.ErrUnexpectedEOF
}
