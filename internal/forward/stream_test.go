package forward

import (
	"bytes"
	"testing"
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
