package ingress_test

import (
	"testing"
)

// TestMalformedHeadsAreRejected has a row for each production of a request's head, RFC 9112 sections 3 and 5.
func TestMalformedHeadsAreRejected(t *testing.T) {
	const rest = "Host: h\r\nContent-Length: 2\r\n\r\nok"
	for _, c := range []struct {
		name, sent string
		status     int
	}{
		{"sound", "POST /a HTTP/1.1\r\n" + rest, 200},
		{"version 1.0", "POST /a HTTP/1.0\r\n" + rest, 200},
		{"empty line before the head", "\r\nPOST /a HTTP/1.1\r\n" + rest, 200},
		{"method of other token characters", "A-b!1 /a HTTP/1.1\r\n" + rest, 200},
		{"obs-text in the target", "POST /\xfc HTTP/1.1\r\n" + rest, 200},
		{"all token characters", "POST /a HTTP/1.1\r\n!#$%&'*+-.^_`|~09azAZ:b\r\n" + rest, 200},
		{"tab and obs-text in a value", "POST /a HTTP/1.1\r\nX-A: \tb\tc\xfc \r\n" + rest, 200},
		{"empty value", "POST /a HTTP/1.1\r\nX-A:\r\n" + rest, 200},
		{"blank in a name", "POST /a HTTP/1.1\r\nX A: b\r\n" + rest, 400},
		{"blank before the colon", "POST /a HTTP/1.1\r\nX-A : b\r\n" + rest, 400},
		{"blank in the name of the length", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length : 2\r\n\r\nok", 400},
		{"blank in the name of the coding", "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding : chunked\r\nContent-Length: 2\r\n\r\nok", 400},
		{"control byte in a name", "POST /a HTTP/1.1\r\nX-\x01A: b\r\n" + rest, 400},
		{"obs-text in a name", "POST /a HTTP/1.1\r\nX-\xfc: b\r\n" + rest, 400},
		{"empty name", "POST /a HTTP/1.1\r\n: b\r\n" + rest, 400},
		{"no colon", "POST /a HTTP/1.1\r\nX-A\r\n" + rest, 400},
		{"folded line", "POST /a HTTP/1.1\r\nX-A: b\r\n c\r\n" + rest, 400},
		{"first line begins with a blank", "POST /a HTTP/1.1\r\n X-A: b\r\n" + rest, 400},
		{"control byte in a value", "POST /a HTTP/1.1\r\nX-A: \x01\r\n" + rest, 400},
		{"NUL in a value", "POST /a HTTP/1.1\r\nX-A: b\x00\r\n" + rest, 400},
		{"CR in a value", "POST /a HTTP/1.1\r\nX-A: b\rc\r\n" + rest, 400},
		{"line end without CR", "POST /a HTTP/1.1\r\nX-A: b\n" + rest, 400},
		{"request line without CR", "POST /a HTTP/1.1\n" + rest, 400},
		{"end of the head without CR", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\nok", 400},
		{"control byte in the method", "PO\x01ST /a HTTP/1.1\r\n" + rest, 400},
		{"no method", " /a HTTP/1.1\r\n" + rest, 400},
		{"two blanks before the target", "POST  /a HTTP/1.1\r\n" + rest, 400},
		{"blank in the target", "POST /a b HTTP/1.1\r\n" + rest, 400},
		{"tab in the target", "POST /a\tb HTTP/1.1\r\n" + rest, 400},
		{"control byte in the target", "POST /a\x01 HTTP/1.1\r\n" + rest, 400},
		{"CR in the target", "POST /a\rb HTTP/1.1\r\n" + rest, 400},
		{"no version", "POST /a\r\n" + rest, 400},
		{"version 2.0", "POST /a HTTP/2.0\r\n" + rest, 400},
		{"version in lower case", "POST /a http/1.1\r\n" + rest, 400},
		{"version with two digits", "POST /a HTTP/1.10\r\n" + rest, 400},
		{"text behind the version", "POST /a HTTP/1.1 x\r\n" + rest, 400},
		{"blank in a trailer's name", "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX A: b\r\n\r\n", 400},
		{"another request as trailer", "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n", 400},
	} {
		h := &handler{}
		_, address := start(t, h)
		client := dial(t, address)
		client.send(c.sent)
		response, body := client.answer()
		if response.StatusCode != c.status {
			t.Errorf("%s: got status %d with body %q, want %d", c.name, response.StatusCode, body, c.status)
		}
		if passed := len(h.seen) > 0; passed != (c.status == 200) {
			t.Errorf("%s: passed on is %v with status %d", c.name, passed, response.StatusCode)
		}
	}
}
