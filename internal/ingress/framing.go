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

// frameOf reads the framing of a request. Anything that two readers could understand
// differently is refused, since the rest could then be taken for another request.
func frameOf(h *fasthttp.RequestHeader, limits route.Limits) (framing, string) {
	f := framing{http10: string(h.Protocol()) != "HTTP/1.1"}
	size := len(h.RawHeaders()) + len(h.Method()) + len(h.RequestURI())
	if size > limits.HeaderBytes {
		return f, "the head is larger than the limit"
	}
	lengths, encodings, hosts := h.PeekAll("Content-Length"), h.PeekAll("Transfer-Encoding"), h.PeekAll("Host")
	if len(hosts) != 1 {
		return f, "there must be one Host header"
	}
	if len(lengths) > 1 || len(encodings) > 1 || len(lengths)+len(encodings) > 1 {
		return f, "the length of the body is ambiguous"
	}
	if len(h.RequestURI()) == 0 || h.RequestURI()[0] != '/' {
		return f, "the target must be a path"
	}
	if len(lengths) == 1 {
		n, err := strconv.ParseInt(string(lengths[0]), 10, 63)
		if err != nil || n < 0 || strings.ContainsAny(string(lengths[0]), "+- ") {
			return f, "malformed Content-Length"
		}
		f.hasBody, f.length = true, n
	}
	if len(encodings) == 1 {
		if !strings.EqualFold(string(encodings[0]), "chunked") || f.http10 {
			return f, "unsupported Transfer-Encoding"
		}
		f.hasBody, f.length = true, -1
	}
	connection := strings.ToLower(string(h.Peek("Connection")))
	f.close = hasOption(connection, "close") || f.http10 && !hasOption(connection, "keep-alive")
	f.expects = strings.EqualFold(string(h.Peek("Expect")), "100-continue")
	return f, ""
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
