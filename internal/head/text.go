package head

import "golang.org/x/net/http/httpguts"

// isText reports whether a reason or the value of a field has only the bytes that are allowed there: visible
// ones, blanks, tabs and those above 0x7f, RFC 9110 section 5.5.
func isText(s string) bool { return httpguts.ValidHeaderFieldValue(s) }
