package forward

import (
	"bytes"
	"testing"

	"github.com/sequoiapick/sequoiapick/internal/exchange"
	"github.com/sequoiapick/sequoiapick/pkg/route"
)

// TestBytesWithoutEventAreBounded relays bytes in which no event ends.
func TestBytesWithoutEventAreBounded(t *testing.T) {
	const maxBytes = 2 << 20
	s := &stream{}
	chunk := bytes.Repeat([]byte("x"), 4096)
	for relayed := 0; relayed < maxBytes; relayed += len(chunk) {
		if s.relayEvents(chunk) != nil {
			return
		}
	}
	t.Errorf("%d bytes without an event are buffered, want an error before", cap(s.pending))
}

func TestEndOfStreamShowsBrokenAnswer(t *testing.T) {
	for _, c := range []struct {
		name               string
		kind               route.Kind
		pending            string
		empty              bool
		endsWithConnection bool
		broken             bool
	}{
		{"after an event", route.Streaming, "", false, true, false},
		{"inside an event", route.Streaming, "id: 2\nda", false, true, true},
		{"inside an event, with a length", route.Streaming, "id: 2\nda", false, false, true},
		{"behind white space", route.Streaming, "\n", false, true, false},
		{"before any event", route.Streaming, "", true, true, true},
		{"resumed behind the last event, with a length", route.Streaming, "", true, false, false},
		{"an answer that isn't a stream", route.Safe, "body", true, true, false},
	} {
		s := &stream{request: &requestState{route: &route.Route{Kind: c.kind}}, pending: []byte(c.pending)}
		if broken := s.brokenOff(&exchange.Answer{EndsWithConnection: c.endsWithConnection}, c.empty); broken != c.broken {
			t.Errorf("%s: broken off is %v, want %v", c.name, broken, c.broken)
		}
	}
}
