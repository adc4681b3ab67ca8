package exchange_test

import "testing"

// fieldLineCases has a row for each production of the field line, RFC 9112 section 5.
func fieldLineCases() []grammarCase {
	field := func(f string) string { return okLine + idLine + f + "\r\n" + lengthLine + "\r\nok" }
	return []grammarCase{
		{"a field", field("X-A: b"), 200, "ok"},
		{"all token characters", field("!#$%&'*+-.^_`|~09azAZ: b"), 200, "ok"},
		{"no blank before the value", field("X-A:b"), 200, "ok"},
		{"blanks and tabs around the value", field("X-A: \t b \t "), 200, "ok"},
		{"empty value", field("X-A:"), 200, "ok"},
		{"tab in the value", field("X-A: b\tc"), 200, "ok"},
		{"obs-text in the value", field("X-A: \xfc"), 200, "ok"},
		{"colon in the value", field("X-A: b:c"), 200, "ok"},
		{"blank in the name", field("X A: b"), 0, ""},
		{"blank before the colon", field("X-A : b"), 0, ""},
		{"tab before the colon", field("X-A\t: b"), 0, ""},
		{"blank in the name of the length", okLine + idLine + "Content-Length : 1\r\n\r\nok", 0, ""},
		{"blank in the name of the coding", okLine + idLine + "Transfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", 0, ""},
		{"control byte in the name", field("X-\x01A: b"), 0, ""},
		{"NUL in the name", field("X-\x00A: b"), 0, ""},
		{"DEL in the name", field("X-A\x7f: b"), 0, ""},
		{"CR in the name", field("X-\rA: b"), 0, ""},
		{"obs-text in the name", field("X-\xfc: b"), 0, ""},
		{"delimiter in the name", field("X(A): b"), 0, ""},
		{"slash in the name", field("X/A: b"), 0, ""},
		{"quote in the name", field("\"X\": b"), 0, ""},
		{"empty name", field(": b"), 0, ""},
		{"no colon", field("X-A"), 0, ""},
		{"first line begins with a blank", okLine + " " + idLine + lengthLine + "\r\nok", 0, ""},
		{"folded line", field("X-A: b\r\n c"), 0, ""},
		{"line folded by a tab", field("X-A: b\r\n\tc"), 0, ""},
		{"control byte in the value", field("X-A: b\x01"), 0, ""},
		{"NUL in the value", field("X-A: b\x00c"), 0, ""},
		{"DEL in the value", field("X-A: b\x7f"), 0, ""},
		{"CR in the value", field("X-A: b\rc"), 0, ""},
		{"CR before the line end", field("X-A: b\r"), 0, ""},
		{"line end without CR", okLine + idLine + "X-A: b\n" + lengthLine + "\r\nok", 0, ""},
		{"end of the head without CR", okLine + idLine + lengthLine + "\nok", 0, ""},
		{"control byte in a name of an informational head", "HTTP/1.1 100 Continue\r\nX\x01: b\r\n\r\n" + okLine + idLine + lengthLine + "\r\nok", 0, ""},
	}
}

func TestFieldLines(t *testing.T) { checkGrammar(t, fieldLineCases()) }
