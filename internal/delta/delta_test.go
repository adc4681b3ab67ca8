package delta_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/sequoiapick/sequoiapick/internal/delta"
	"github.com/sequoiapick/sequoiapick/pkg/problem"
)

// rows returns a value of many similar rows, of which one differs.
func rows(changed int) []byte {
	var b strings.Builder
	for i := range 1500 {
		timeout := 6000
		if i == changed {
			timeout = 7000
		}
		fmt.Fprintf(&b, `{"name":"route-%d","host":"h%d.example","prefix":"/p%dq/","kind":"streaming","timeoutMs":%d},`, i, i%7, i*7919%10007, timeout)
	}
	return []byte(b.String())
}

func TestDecodeReturnsEncodedValue(t *testing.T) {
	for _, c := range []struct {
		name        string
		value, base []byte
		maxBytes    int
	}{
		{"empty", nil, nil, 100},
		{"without a base", rows(3), nil, len(rows(3)) / 4},
		{"one change", rows(3), rows(900), 1000},
		{"same value", rows(3), rows(3), 1000},
		{"unrelated base", rows(3), []byte("unrelated"), len(rows(3)) / 4},
		{"value removed", []byte("x"), rows(3), 100},
	} {
		encoded, err := delta.Encode(c.value, c.base)
		if err != nil {
			t.Fatalf("%s: %v", c.name, err)
		}
		got, err := delta.Decode(encoded, c.base)
		if err != nil || !bytes.Equal(got, c.value) {
			t.Errorf("%s: decoding returned %d bytes and %v, want the %d of the value", c.name, len(got), err, len(c.value))
		}
		if len(encoded) > c.maxBytes {
			t.Errorf("%s: %d bytes are encoded in %d, want at most %d", c.name, len(c.value), len(encoded), c.maxBytes)
		}
	}
}

func TestDecodeRejectsMalformedBytes(t *testing.T) {
	if _, err := delta.Decode([]byte("malformed"), nil); problem.Of(err) != problem.Invalid {
		t.Errorf("decoding malformed bytes returned %v, want an error of kind %s", err, problem.Invalid)
	}
}

func BenchmarkEncodeOneChange(b *testing.B) {
	value, base := rows(3), rows(900)
	for b.Loop() {
		if _, err := delta.Encode(value, base); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkDecodeOneChange(b *testing.B) {
	value, base := rows(3), rows(900)
	encoded, err := delta.Encode(value, base)
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if _, err := delta.Decode(encoded, base); err != nil {
			b.Fatal(err)
		}
	}
}
