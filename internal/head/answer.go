package head

import (
	"strconv"
	"strings"
)

// UnknownLength is the length of a body whose head doesn't state it.
const UnknownLength = -1

// Answer is what the head of an answer says of its end.
type Answer struct {
	// Status is the status code, 100 to 599.
	Status int
	// Length is the value of Content-Length in bytes, or UnknownLength.
	Length int64
	// Chunked is set if the body is sent in chunks.
	Chunked bool

	// minorVersion is that of the protocol, 0 for HTTP/1.0.
	minorVersion int
	// lengths and codings hold the values of Content-Length and Transfer-Encoding.
	lengths, codings []string
	// started is set once the status line was read.
	started bool
}

// addLine checks the next line of the head.
func (a *Answer) addLine(line string) error {
	if !a.started {
		a.started = true
		return a.parseStatusLine(line)
	}
	name, value, err := parseField(line)
	if err != nil {
		return err
	}
	switch {
	case strings.EqualFold(name, "Content-Length"):
		a.lengths = append(a.lengths, value)
	case strings.EqualFold(name, "Transfer-Encoding"):
		a.codings = append(a.codings, value)
	}
	return nil
}

// The parts of a status line, RFC 9112 section 4: version, blank, code, blank, reason. The reason may be empty.
const (
	versionPrefix = "HTTP/1."
	versionSize   = len(versionPrefix) + 1
	codeStart     = versionSize + 1
	codeEnd       = codeStart + 3
	reasonStart   = codeEnd + 1
)

// The valid status codes, RFC 9110 section 15.
const (
	minStatus = 100
	maxStatus = 599
)

// parseStatusLine sets the version and the status.
func (a *Answer) parseStatusLine(line string) error {
	if len(line) < reasonStart || !isVersion(line[:versionSize]) || line[versionSize] != ' ' || line[codeEnd] != ' ' || !isText(line[reasonStart:]) {
		return malformed("status line %.60q", line)
	}
	a.minorVersion = int(line[versionSize-1] - '0')
	status, ok := parseDigits(line[codeStart:codeEnd])
	if !ok || status < minStatus || status > maxStatus {
		return malformed("status line %.60q", line)
	}
	a.Status = int(status)
	return nil
}

// end sets the length of the body, RFC 9112 section 6.3. What another parser could read as another length is
// rejected: several lengths, a length beside chunks, and codings other than chunks, which aren't decoded.
func (a *Answer) end() error {
	a.Length = UnknownLength
	switch {
	case len(a.lengths)+len(a.codings) > 1:
		return malformed("the length of the body is ambiguous: Content-Length %.60q, Transfer-Encoding %.60q", a.lengths, a.codings)
	case len(a.codings) == 1:
		if !strings.EqualFold(a.codings[0], "chunked") || a.minorVersion == 0 {
			return malformed("Transfer-Encoding %.60q in HTTP/1.%d", a.codings[0], a.minorVersion)
		}
		a.Chunked = true
	case len(a.lengths) == 1:
		length, ok := parseDigits(a.lengths[0])
		if !ok {
			return malformed("Content-Length %.60q", a.lengths[0])
		}
		a.Length = length
	}
	return nil
}

// parseDigits returns the number of a text of digits only, and false if there are other bytes, none, or the
// number exceeds 63 bits.
func parseDigits(s string) (int64, bool) {
	n, err := strconv.ParseUint(s, 10, 63) // accepts no sign and no underscores
	return int64(n), err == nil
}
