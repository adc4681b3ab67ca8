package head

import (
	"strings"

	"golang.org/x/net/http/httpguts"
)

// CheckField returns a SyntaxError unless the line, which is given without its line end, is a field line of
// RFC 9112 section 5. A line that continues the one before (obs-fold) isn't.
func CheckField(line string) error {
	_, _, err := parseField(line)
	return err
}

// parseField returns the name and the value of a field line.
func parseField(line string) (name, value string, err error) {
	name, value, found := strings.Cut(line, ":")
	if !found || !httpguts.ValidHeaderFieldName(name) || !isText(value) {
		return "", "", malformed("field line %.60q", line)
	}
	return name, strings.Trim(value, " \t"), nil
}

// isText reports whether a reason or the value of a field has only the bytes that are allowed there: visible
// ones, blanks, tabs and those above 0x7f, RFC 9110 section 5.5.
func isText(s string) bool { return httpguts.ValidHeaderFieldValue(s) }

// isVersion reports whether a text is HTTP/1.x.
func isVersion(s string) bool {
	minor, ok := strings.CutPrefix(s, versionPrefix)
	return ok && len(minor) == 1 && '0' <= minor[0] && minor[0] <= '9'
}
