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

// framing says where the body of a request ends and whether its connection is kept.
type framing struct {
	hasBody bool
	// length is the length of the body, negative for a body in chunks.
	length  int64
	close   bool
	http10  bool
	expects bool
}

// fault is a request that can't be handled as it is.
type fault struct {
	status int
	reason string
}

func malformed(reason string) *fault {
	return &fault{status: fasthttp.StatusBadRequest, reason: reason}
}

// frameOf reads the framing of a request. Anything that two readers could understand
// differently is refused, since the rest could then be taken for another request.
func frameOf(h *fasthttp.RequestHeader, limits route.Limits) (framing, *fault) {
	f := framing{http10: string(h.Protocol()) != "HTTP/1.1"}
	if len(h.RawHeaders())+len(h.Method())+len(h.RequestURI()) > limits.HeaderBytes {
		return f, &fault{status: fasthttp.StatusRequestHeaderFieldsTooLarge, reason: "the head is larger than the limit"}
	}
	if len(h.RequestURI()) == 0 || h.RequestURI()[0] != '/' {
		return f, malformed("the target must be a path")
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
			f.expects = strings.EqualFold(string(value), "100-continue")
		}
	}
	if len(hosts) != 1 {
		return f, malformed("there must be one Host header")
	}
	if len(lengths)+len(encodings) > 1 {
		return f, malformed("the length of the body is ambiguous")
	}
	if len(lengths) == 1 {
		n, err := strconv.ParseUint(lengths[0], 10, 62)
		if err != nil {
			return f, malformed("malformed Content-Length")
		}
		f.hasBody, f.length = true, int64(n)
	}
	if len(encodings) == 1 {
		if !strings.EqualFold(encodings[0], "chunked") || f.http10 {
			return f, malformed("unsupported Transfer-Encoding")
		}
		f.hasBody, f.length = true, -1
	}
	connection := strings.ToLower(strings.Join(connections, ","))
	f.close = hasOption(connection, "close") || f.http10 && !hasOption(connection, "keep-alive")
	return f, nil
}

func hasOption(value, option string) bool {
	for _, field := range strings.Split(value, ",") {
		if strings.TrimSpace(field) == option {
			return true
		}
	}
	return false
}

func isClosed(err error) bool {
	return errors.Is(err, net.ErrClosed) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || errors.Is(err, io.ErrClosedPipe)
}

func isDescriptorLimit(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ECONNABORTED)
}
