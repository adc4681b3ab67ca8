// Package head checks the heads of HTTP/1.1 messages against the grammar of RFC 9112 before they are parsed.
//
// The HTTP library that parses heads accepts more than the grammar allows. What two parsers read differently may
// end a body at the wrong byte, so that a part of another message is taken for the answer. The functions of this
// package leave the head that they accept unread in the buffer; its parser finds only what the grammar allows.
//
// # Usage
//
//	answer, err := head.AwaitAnswer(reader) // drops informational answers
//	err = response.Header.Read(reader)      // reads the same bytes
package head

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/sequoiapick/sequoiapick/pkg/problem"
)

// maxInformational bounds the informational answers before the expected one.
const maxInformational = 8

// lineEnd ends each line of a head.
const lineEnd = "\r\n"

// SyntaxError is the error for a head or a trailer that the grammar doesn't allow.
type SyntaxError struct {
	// Detail tells what is wrong, with an excerpt.
	Detail string
}

// Error implements error.
func (e *SyntaxError) Error() string { return "malformed head: " + e.Detail }

// malformed returns a SyntaxError with a formatted detail.
func malformed(format string, args ...any) error {
	return &SyntaxError{Detail: fmt.Sprintf(format, args...)}
}

// ErrTooLarge is the error for a head that doesn't fit into the buffer of its reader.
var ErrTooLarge = problem.New(problem.TooLarge, "the head is larger than its buffer")

// statusSwitchingProtocols is the only informational status that ends an exchange.
const statusSwitchingProtocols = 101

// AwaitAnswer waits for the head of an answer that isn't informational, and drops informational ones before it.
// It returns a SyntaxError if a head is malformed or there are too many of them, ErrTooLarge, or the error of
// reading, which is io.ErrUnexpectedEOF inside a head.
func AwaitAnswer(r *bufio.Reader) (Answer, error) {
	for range maxInformational + 1 {
		var answer Answer
		size, err := scan(r, answer.addLine)
		if err == nil {
			err = answer.end()
		}
		if err != nil {
			return Answer{}, err
		}
		if answer.Status >= 200 {
			return answer, nil
		}
		if answer.Status == statusSwitchingProtocols {
			return Answer{}, malformed("status 101 without a request to switch protocols")
		}
		if _, err := r.Discard(size); err != nil {
			return Answer{}, err
		}
	}
	return Answer{}, malformed("more than %d informational answers", maxInformational)
}

// scan calls add with each line of a head, without line ends, up to the empty line, and returns the size of the
// head with that line. Each line is checked as soon as it is complete.
func scan(r *bufio.Reader, add func(line string) error) (size int, err error) {
	for wanted := 1; ; wanted = r.Buffered() + 1 {
		switch _, err := r.Peek(wanted); {
		case errors.Is(err, bufio.ErrBufferFull):
			return 0, ErrTooLarge
		case errors.Is(err, io.EOF) && r.Buffered() > 0:
			return 0, io.ErrUnexpectedEOF
		case err != nil:
			return 0, err
		}
		buffered, err := r.Peek(r.Buffered())
		if err != nil {
			return 0, err
		}
		for {
			end := bytes.IndexByte(buffered[size:], '\n')
			if end < 0 {
				break
			}
			line, ok := strings.CutSuffix(string(buffered[size:size+end]), "\r")
			if !ok {
				return 0, malformed("a line ends without CR")
			}
			isFirst := size == 0
			size += end + 1
			if line == "" && !isFirst {
				return size, nil
			}
			if err := add(line); err != nil {
				return 0, err
			}
		}
	}
}
