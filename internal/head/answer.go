package head

import (
	"strings"
)

// Answer is what the head of an answer says of its end.
type Answer struct {
	// Status is the status code, 100 to 599.
	Status int

	// lines is the number of lines so far.
	lines int
}

// addLine checks the next line of the head.
func (a *Answer) addLine(line string) error {
	a.lines++
	if a.lines == 1 {
		return a.parseStatusLine(line)
	}
	return nil
}

// check checks what only the whole head shows.
func (a *Answer) check() error { return nil }

// The parts of a status line, RFC 9112 section 4: version, blank, code, blank, reason. The reason may be empty.
const (
	versionPrefix = "HTTP/1."
	versionSize   = len(versionPrefix) + 1
	codeStart     = versionSize + 1
	reasonStart   = codeStart + 4
)

// The valid status codes, RFC 9110 section 15.
const (
	minStatus = 100
	maxStatus = 599
)

// parseStatusLine sets the status.
func (a *Answer) parseStatusLine(line string) error {
	if len(line) < reasonStart || !strings.HasPrefix(line, versionPrefix) || !isDigit(line[versionSize-1]) ||
		line[versionSize] != ' ' || line[reasonStart-1] != ' ' || !isText(line[reasonStart:]) {
		return malformed("status line %.60q", line)
	}
	for _, digit := range []byte(line[codeStart : reasonStart-1]) {
		if !isDigit(digit) {
			return malformed("status line %.60q", line)
		}
		a.Status = 10*a.Status + int(digit-'0')
	}
	if a.Status < minStatus || a.Status > maxStatus {
		return malformed("status %d", a.Status)
	}
	return nil
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }
