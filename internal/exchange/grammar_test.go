package exchange_test

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/sequoiapick/sequoiapick/internal/exchange"
)

// grammarCase is one answer of a table.
type grammarCase struct {
	name string
	// sent is everything that the target sends; it then closes the connection.
	sent string
	// status is that of the accepted answer, 0 if it must be rejected.
	status int
	// body is that of the accepted answer.
	body string
}

// Lines of a sound head, with their line ends, whose body has two bytes.
const (
	idLine     = "X-Attempt-Id: a\r\n"
	lengthLine = "Content-Length: 2\r\n"
	okLine     = "HTTP/1.1 200 OK\r\n"
)

// statusLineCases has a row for each production of the status line, RFC 9112 section 4, and for the codes of
// RFC 9110 section 15.
func statusLineCases() []grammarCase {
	line := func(l string) string { return l + "\r\n" + idLine + lengthLine + "\r\nok" }
	return []grammarCase{
		{"version 1.1", line("HTTP/1.1 200 OK"), 200, "ok"},
		{"version 1.0", line("HTTP/1.0 200 OK"), 200, "ok"},
		{"no reason", line("HTTP/1.1 200 "), 200, "ok"},
		{"reason with blanks and a tab", line("HTTP/1.1 200 all is\twell"), 200, "ok"},
		{"reason with obs-text", line("HTTP/1.1 200 gut \xfc"), 200, "ok"},
		{"unknown code of a known class", line("HTTP/1.1 299 OK"), 299, "ok"},
		{"highest code", line("HTTP/1.1 599 Odd"), 599, "ok"},
		{"informational before the head", "HTTP/1.1 100 Continue\r\n\r\n" + line(okLine[:len(okLine)-2]), 200, "ok"},
		{"informational with fields", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + line(okLine[:len(okLine)-2]), 200, "ok"},
		{"code 000", line("HTTP/1.1 000 OK"), 0, ""},
		{"code 099", line("HTTP/1.1 099 OK"), 0, ""},
		{"code 600", line("HTTP/1.1 600 OK"), 0, ""},
		{"code 999", line("HTTP/1.1 999 OK"), 0, ""},
		{"one digit", line("HTTP/1.1 2 OK"), 0, ""},
		{"two digits", line("HTTP/1.1 20 OK"), 0, ""},
		{"four digits", line("HTTP/1.1 2000 OK"), 0, ""},
		{"leading zero", line("HTTP/1.1 0200 OK"), 0, ""},
		{"sign", line("HTTP/1.1 +20 OK"), 0, ""},
		{"negative", line("HTTP/1.1 -20 OK"), 0, ""},
		{"hexadecimal", line("HTTP/1.1 2A0 OK"), 0, ""},
		{"no code", line("HTTP/1.1  OK"), 0, ""},
		{"only a version", line("HTTP/1.1"), 0, ""},
		{"no blank behind the code", line("HTTP/1.1 200"), 0, ""},
		{"no blank between code and reason", line("HTTP/1.1 200OK"), 0, ""},
		{"two blanks before the code", line("HTTP/1.1  200 OK"), 0, ""},
		{"tab before the code", line("HTTP/1.1\t200 OK"), 0, ""},
		{"blank before the version", line(" HTTP/1.1 200 OK"), 0, ""},
		{"empty line before the head", "\r\n" + line("HTTP/1.1 200 OK"), 0, ""},
		{"version in lower case", line("http/1.1 200 OK"), 0, ""},
		{"version 2.0", line("HTTP/2.0 200 OK"), 0, ""},
		{"version 0.9", line("HTTP/0.9 200 OK"), 0, ""},
		{"version with two digits", line("HTTP/1.11 200 OK"), 0, ""},
		{"version without a minor number", line("HTTP/1 200 OK"), 0, ""},
		{"another protocol", line("ICY 200 OK"), 0, ""},
		{"no status line", idLine + lengthLine + "\r\nok", 0, ""},
		{"control byte in the reason", line("HTTP/1.1 200 O\x01K"), 0, ""},
		{"NUL in the reason", line("HTTP/1.1 200 O\x00K"), 0, ""},
		{"CR in the reason", line("HTTP/1.1 200 O\rK"), 0, ""},
		{"line end without CR", "HTTP/1.1 200 OK\n" + idLine + lengthLine + "\r\nok", 0, ""},
		{"switch of protocols that wasn't asked for", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n" + idLine + lengthLine + "\r\nok", 0, ""},
		{"informational with code 000 before the head", "HTTP/1.1 000 Continue\r\n\r\n" + line("HTTP/1.1 200 OK"), 0, ""},
	}
}

// readAnswer returns the status and the body of the answer of a target that sends the bytes.
func readAnswer(t *testing.T, sent string) (status int, body string, err error) {
	t.Helper()
	address := serve(t, func(conn net.Conn, _ int) {
		if skipRequest(bufio.NewReader(conn)) {
			_, _ = io.WriteString(conn, sent)
		}
	})
	pool := newPool()
	conn, err := pool.Open(t.Context(), address, exchange.OpenOptions{})
	if err != nil {
		t.Fatal(err)
	}
	defer pool.Discard(conn)
	r := request("a")
	r.FirstByteTimeout = time.Second
	answer, err := conn.Do(t.Context(), r)
	if err != nil {
		return 0, "", err
	}
	text, err := io.ReadAll(answer.Body)
	return answer.Head.Status, string(text), err
}

func checkGrammar(t *testing.T, cases []grammarCase) {
	t.Helper()
	for _, c := range cases {
		status, body, err := readAnswer(t, c.sent)
		switch {
		case c.status == 0 && err == nil:
			t.Errorf("%s: accepted with status %d and body %q: %q", c.name, status, body, strings.ReplaceAll(c.sent, "\r\n", "|"))
		case c.status != 0 && (err != nil || status != c.status || body != c.body):
			t.Errorf("%s: got %d, %q, %v, want %d, %q", c.name, status, body, err, c.status, c.body)
		}
	}
}

func TestStatusLine(t *testing.T) { checkGrammar(t, statusLineCases()) }
