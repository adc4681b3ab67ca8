package exchange

import (
	"bufio"
	"io"
	"strings"
	"time"
)

type eof struct{}

func (eof) Read([]byte) (int, error) { return 0, io.EOF }

// stalling bounds the wait for each part of a body.
type stalling struct {
	conn   *Conn
	reader io.Reader
	limit  time.Duration
}

// Read implements io.Reader.
func (s *stalling) Read(p []byte) (int, error) {
	s.conn.readWithin(s.limit)
	return s.reader.Read(p)
}

// body reads the body of an answer and marks its connection whole at the end.
type body struct {
	conn     *Conn
	reader   io.Reader
	counted  bool
	left     int64
	reusable bool
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.reader.Read(p)
	if b.counted {
		b.left -= int64(n)
		if b.left > 0 && err == io.EOF {
			return n, io.ErrUnexpectedEOF
		}
		if b.left == 0 && err == nil {
			err = io.EOF
		}
	}
	if err == io.EOF {
		b.conn.whole = b.reusable
	}
	return n, err
}

// chunked reads a body in chunks up to the end of its trailer.
type chunked struct {
	reader *bufio.Reader
	chunks io.Reader
	ended  bool
}

// Read implements io.Reader.
func (c *chunked) Read(p []byte) (int, error) {
	if c.ended {
		return 0, io.EOF
	}
	n, err := c.chunks.Read(p)
	if err != io.EOF {
		return n, err
	}
	for {
		line, err := c.reader.ReadSlice('\n')
		if err != nil {
			return n, io.ErrUnexpectedEOF
		}
		if len(strings.TrimRight(string(line), "\r\n")) == 0 {
			c.ended = true
			return n, io.EOF
		}
	}
}
