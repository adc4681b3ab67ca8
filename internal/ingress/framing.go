package ingress

import (
	"errors"
	"io"
	"net"
	"strconv"
	"strings"
	"syscall"

	"github.com/valyala/fasthttp"

	"github.com/sequoiapick/sequoiapick/pkg/route"
)

// framing defines where the body of a request ends and whether its connection stays open.
type framing struct {
	hasBody bool
	// length is the length of the body in bytes, negative for a chunked body.
	length int64
	// close is set if the client wants the connection closed after the answer.
	close bool
	// http10 is set for any protocol version other than HTTP/1.1.
	http10 bool
	// expectsContinue is set if the client waits for status 100 before it sends the body.
	expectsContinue bool
}

// requestError is the status and reason of a rejected request.
type requestError struct {
	status int
	reason string
}

// badRequest returns an error with status 400.
func badRequest(reason string) *requestError {
	return &requestError{status: fasthttp.StatusBadRequest, reason: reason}
}

// parseFraming reads the framing of a request. Whatever another parser could interpret
// differently is rejected, since part of the body could then be taken for another request
// (request smuggling).
func parseFraming(h *fasthttp.RequestHeader, limits route.Limits) (framing, *requestError) {
	f := framing{http10: string(h.Protocol()) != "HTTP/1.1"}
	if len(h.RawHeaders())+len(h.Method())+len(h.RequestURI()) > limits.HeaderBytes {
		return f, &requestError{status: fasthttp.StatusRequestHeaderFieldsTooLarge, reason: "the head is larger than the limit"}
	}
	if len(h.RequestURI()) == 0 || h.RequestURI()[0] != '/' {
		return f, badRequest("the request target must be a path")
	}
	var lengths, encodings, hosts, connections []string
	for key, value := range h.AllInOrder() {
		switch string(key) {
		case fasthttp.HeaderContentLength:
			lengths = append(lengths, string(value))
		case fasthttp.HeaderTransferEncoding:
			encodings = append(encodings, string(value))
		case fasthttp.HeaderHost:
			hosts = append(hosts, string(value))
		case fasthttp.HeaderConnection:
			connections = append(connections, string(value))
		case fasthttp.HeaderExpect:
			f.expectsContinue = strings.EqualFold(string(value), "100-continue")
		}
	}
	if len(hosts) != 1 {
		return f, badRequest("there must be exactly one Host header")
	}
	if len(lengths)+len(encodings) > 1 {
		return f, badRequest("the length of the body is ambiguous")
	}
	if len(lengths) == 1 {
		n, err := strconv.ParseUint(lengths[0], 10, 62)
		if err != nil {
			return f, badRequest("malformed Content-Length")
		}
		f.hasBody, f.length = true, int64(n)
	}
	if len(encodings) == 1 {
		if !strings.EqualFold(encodings[0], "chunked") || f.http10 {
			return f, badRequest("unsupported Transfer-Encoding")
		}
		f.hasBody, f.length = true, -1
	}
	connection := strings.ToLower(strings.Join(connections, ","))
	f.close = hasOption(connection, "close") || f.http10 && !hasOption(connection, "keep-alive")
	return f, nil
}

// hasOption reports whether a lower-case Connection header contains the option.
func hasOption(value, option string) bool {
	for _, field := range strings.Split(value, ",") {
		if strings.TrimSpace(field) == option {
			return true
		}
	}
	return false
}

// isClosed reports whether either side has closed or reset the connection.
func isClosed(err error) bool {
	return errors.Is(err, net.ErrClosed) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || errors.Is(err, io.ErrClosedPipe)
}

// isTemporaryErrno reports whether accepting failed for lack of file descriptors, or because the
// client had already disconnected; another attempt may succeed in both cases.
func isTemporaryErrno(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ECONNABORTED)
}
