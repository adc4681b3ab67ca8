package head_test

import (
	"bufio"
	"bytes"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"

	"github.com/sequoiapick/sequoiapick/internal/head"
)

// bufferBytes is the size of the read buffer, which bounds a head.
const bufferBytes = 8 << 10

// The productions of RFC 9112 sections 4 and 5 as regular expressions over text in which each byte is a character.
var (
	answerPattern = regexp.MustCompile(`^HTTP/1\.([0-9]) ([1-5][0-9][0-9]) [\t\x20-\x7e\x{80}-\x{ff}]*\r\n((?:[!#$%&'*+\-.^_\x60|~0-9A-Za-z]+:[\t\x20-\x7e\x{80}-\x{ff}]*\r\n)*)\r\n`)
	lengthPattern = regexp.MustCompile(`(?im)^content-length:[\t ]*(.*?)[\t ]*\r$`)
	codingPattern = regexp.MustCompile(`(?im)^transfer-encoding:[\t ]*(.*?)[\t ]*\r$`)
	digitsPattern = regexp.MustCompile(`^[0-9]+$`)
)

// strictAnswer is a second reading of the head of an answer, as the grammar is written. It returns false if the
// head is malformed, incomplete, or doesn't fit into the buffer.
func strictAnswer(data []byte) (answer head.Answer, fields string, ok bool) {
	var latin strings.Builder
	for _, c := range data[:min(len(data), bufferBytes)] {
		latin.WriteRune(rune(c))
	}
	text := latin.String()
	for range 9 {
		match := answerPattern.FindStringSubmatch(text)
		if match == nil || match[2] == "101" {
			return answer, "", false
		}
		lengths, codings := lengthPattern.FindAllStringSubmatch(match[3], -1), codingPattern.FindAllStringSubmatch(match[3], -1)
		answer = head.Answer{Length: head.UnknownLength}
		answer.Status, _ = strconv.Atoi(match[2]) // the pattern allows digits only
		switch {
		case len(lengths)+len(codings) > 1:
			return answer, "", false
		case len(codings) == 1:
			answer.Chunked = true
			if !strings.EqualFold(codings[0][1], "chunked") || match[1] == "0" {
				return answer, "", false
			}
		case len(lengths) == 1:
			n, err := strconv.ParseInt(lengths[0][1], 10, 64)
			if err != nil || !digitsPattern.MatchString(lengths[0][1]) {
				return answer, "", false
			}
			answer.Length = n
		}
		if answer.Status >= 200 {
			return answer, match[3], true
		}
		text = text[len(match[0]):]
	}
	return answer, "", false
}

// FuzzAnswer compares the check, and what the HTTP library reads behind it, with a strict reading.
func FuzzAnswer(f *testing.F) {
	const field = "Content-Length: 2\r\n\r\nok"
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\n" + field, "HTTP/1.0 200 \r\n" + field, "HTTP/1.1 000 OK\r\n" + field, "HTTP/1.1 999 OK\r\n" + field,
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "HTTP/1.1 101 x\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX A: b\r\n" + field, "HTTP/1.1 200 OK\r\nX-A : b\r\n" + field, "HTTP/1.1 200 OK\r\nX\x00A: b\r\n" + field,
		"HTTP/1.1 200 OK\r\nX-A: b\r\n c\r\n" + field, "HTTP/1.1 200 OK\nX-A: b\n" + field, "HTTP/1.1 200 OK\r\nX-A:\t\xfc\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + field, "HTTP/1.1 200 OK\r\ncontent-length: +1\r\n" + field,
		"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n" + field, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Type:\r\nServer: x\r\nSet-Cookie: a=b\r\n" + field,
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		reader := bufio.NewReaderSize(bytes.NewReader(data), bufferBytes)
		got, err := head.AwaitAnswer(reader)
		want, fields, ok := strictAnswer(data)
		if (err == nil) != ok {
			// A head that only fits into the buffer without the informational ones before it is accepted.
			if err == nil && len(data) > bufferBytes {
				return
			}
			t.Fatalf("accepted is %v (%v), the strict reading says %v", err == nil, err, ok)
		}
		if !ok {
			return
		}
		if got.Status != want.Status || got.Length != want.Length || got.Chunked != want.Chunked {
			t.Fatalf("got %+v, want %+v", got, want)
		}
		var header fasthttp.ResponseHeader
		header.SetNoDefaultContentType(true)
		if err := header.Read(reader); err != nil {
			t.Fatalf("the library rejects a sound head: %v", err)
		}
		if header.StatusCode() != want.Status {
			t.Fatalf("the library reads status %d, want %d", header.StatusCode(), want.Status)
		}
		for name, value := range header.All() {
			if string(name) == fasthttp.HeaderConnection {
				continue // the library adds it to answers that end with their connection; it isn't forwarded
			}
			line := regexp.MustCompile(`(?im)^` + regexp.QuoteMeta(string(name)) + `:`)
			if !line.MatchString(fields) {
				t.Fatalf("the library reads the field %q: %q, which the head hasn't", name, value)
			}
		}
	})
}
