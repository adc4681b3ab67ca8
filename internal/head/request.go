package head

import (
	"bufio"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// AwaitRequest waits for the head of a request and checks it; an empty line before it is dropped. It returns a
// SyntaxError, ErrTooLarge, or the error of reading, which is io.ErrUnexpectedEOF inside a head.
func AwaitRequest(r *bufio.Reader) error {
	if start, err := r.Peek(len(lineEnd)); err == nil && string(start) == lineEnd {
		if _, err := r.Discard(len(lineEnd)); err != nil {
			return err
		}
	}
	started := false
	_, err := scan(r, func(line string) error {
		if started {
			return CheckField(line)
		}
		started = true
		return checkRequestLine(line)
	})
	return err
}

// checkRequestLine checks the request line, RFC 9112 section 3: method, blank, target, blank, version. Bytes above
// 0x7f in the target are accepted, since some clients don't encode them.
func checkRequestLine(line string) error {
	method, rest, _ := strings.Cut(line, " ")
	target, version, _ := strings.Cut(rest, " ")
	isControl := func(c rune) bool { return c <= ' ' || c == 0x7f }
	if !httpguts.ValidHeaderFieldName(method) || target == "" || strings.ContainsFunc(target, isControl) || !isVersion(version) {
		return malformed("request line %.60q", line)
	}
	return nil
}
