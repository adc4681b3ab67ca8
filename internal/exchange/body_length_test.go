package exchange_test

import "testing"

// framingCases has a row for each rule of the message body length, RFC 9112 sections 6 and 7.
func framingCases() []grammarCase {
	head := func(fields, body string) string { return okLine + idLine + fields + "\r\n" + body }
	chunked := "Transfer-Encoding: chunked\r\n"
	return []grammarCase{
		{"length", head(lengthLine, "ok"), 200, "ok"},
		{"length 0", head("Content-Length: 0\r\n", ""), 200, ""},
		{"length with leading zeros", head("Content-Length: 002\r\n", "ok"), 200, "ok"},
		{"chunks", head(chunked, "1\r\no\r\n1\r\nk\r\n0\r\n\r\n"), 200, "ok"},
		{"coding in upper case", head("Transfer-Encoding: CHUNKED\r\n", "2\r\nok\r\n0\r\n\r\n"), 200, "ok"},
		{"chunk extension", head(chunked, "2;a=b\r\nok\r\n0\r\n\r\n"), 200, "ok"},
		{"trailer", head(chunked, "2\r\nok\r\n0\r\nX-A: b\r\n\r\n"), 200, "ok"},
		{"no content", "HTTP/1.1 204 No Content\r\n" + idLine + "\r\n", 204, ""},
		{"not modified with a length", "HTTP/1.1 304 Not Modified\r\n" + idLine + "Content-Length: 7\r\n\r\n", 304, ""},
		{"empty length", head("Content-Length:\r\n", "ok"), 0, ""},
		{"length with a sign", head("Content-Length: +2\r\n", "ok"), 0, ""},
		{"negative length", head("Content-Length: -2\r\n", "ok"), 0, ""},
		{"hexadecimal length", head("Content-Length: 0x2\r\n", "ok"), 0, ""},
		{"length with text", head("Content-Length: 2 bytes\r\n", "ok"), 0, ""},
		{"fraction as length", head("Content-Length: 2.0\r\n", "ok"), 0, ""},
		{"length beyond 64 bits", head("Content-Length: 18446744073709551618\r\n", "ok"), 0, ""},
		{"two lengths", head("Content-Length: 2\r\nContent-Length: 1\r\n", "ok"), 0, ""},
		{"list of lengths", head("Content-Length: 2, 1\r\n", "ok"), 0, ""},
		{"length and chunks", head(lengthLine+chunked, "2\r\nok\r\n0\r\n\r\n"), 0, ""},
		{"chunks and length", head(chunked+lengthLine, "2\r\nok\r\n0\r\n\r\n"), 0, ""},
		{"unknown coding", head("Transfer-Encoding: gzip\r\n", "ok"), 0, ""},
		{"unknown coding with a length", head("Transfer-Encoding: gzip\r\n"+lengthLine, "ok"), 0, ""},
		{"coding identity", head("Transfer-Encoding: identity\r\n", "ok"), 0, ""},
		{"two codings", head("Transfer-Encoding: gzip, chunked\r\n", "2\r\nok\r\n0\r\n\r\n"), 0, ""},
		{"chunks twice", head("Transfer-Encoding: chunked, chunked\r\n", "2\r\nok\r\n0\r\n\r\n"), 0, ""},
		{"chunks in two lines", head(chunked+chunked, "2\r\nok\r\n0\r\n\r\n"), 0, ""},
		{"chunks before another coding", head("Transfer-Encoding: chunked, gzip\r\n", "2\r\nok\r\n0\r\n\r\n"), 0, ""},
		{"quoted coding", head("Transfer-Encoding: \"chunked\"\r\n", "2\r\nok\r\n0\r\n\r\n"), 0, ""},
		{"empty coding", head("Transfer-Encoding:\r\n", "ok"), 0, ""},
		{"chunks in version 1.0", "HTTP/1.0 200 OK\r\n" + idLine + chunked + "\r\n2\r\nok\r\n0\r\n\r\n", 0, ""},
		{"no chunk size", head(chunked, "\r\nok\r\n0\r\n\r\n"), 0, ""},
		{"chunk size with a sign", head(chunked, "+2\r\nok\r\n0\r\n\r\n"), 0, ""},
		{"chunk size with a prefix", head(chunked, "0x2\r\nok\r\n0\r\n\r\n"), 0, ""},
		{"chunk size that is no number", head(chunked, "z\r\nok\r\n0\r\n\r\n"), 0, ""},
		{"chunk size beyond 64 bits", head(chunked, "10000000000000002\r\nok\r\n0\r\n\r\n"), 0, ""},
		{"chunk longer than its size", head(chunked, "1\r\nok\r\n0\r\n\r\n"), 0, ""},
		{"chunk without an end", head(chunked, "2\r\nok0\r\n\r\n"), 0, ""},
		{"chunk size without CR", head(chunked, "2\nok\r\n0\r\n\r\n"), 0, ""},
		{"chunk end without CR", head(chunked, "2\r\nok\n0\r\n\r\n"), 0, ""},
		{"no end of the trailer", head(chunked, "2\r\nok\r\n0\r\n"), 0, ""},
		{"trailer without a colon", head(chunked, "2\r\nok\r\n0\r\nX-A\r\n\r\n"), 0, ""},
		{"blank in a trailer's name", head(chunked, "2\r\nok\r\n0\r\nX A: b\r\n\r\n"), 0, ""},
		{"control byte in a trailer", head(chunked, "2\r\nok\r\n0\r\nX-A: \x01\r\n\r\n"), 0, ""},
		{"another answer as trailer", head(chunked, "2\r\nok\r\n0\r\n"+head(lengthLine, "no")), 0, ""},
		{"trailer line without CR", head(chunked, "2\r\nok\r\n0\r\nX-A: b\n\r\n"), 0, ""},
		{"trailer end without CR", head(chunked, "2\r\nok\r\n0\r\nX-A: b\r\n\n"), 0, ""},
	}
}

func TestBodyLength(t *testing.T) { checkGrammar(t, framingCases()) }
