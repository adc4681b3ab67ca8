package forward

import "testing"

func TestEventSequence(t *testing.T) {
	for _, c := range []struct {
		name, after string
		events      []string
		next        string
		resumable   bool
		continued   bool
	}{
		{"the next number", "", []string{"id: 1\ndata: x", "id: 2\ndata: x"}, "id: 3\ndata: x", true, true},
		{"the next number from 0", "", []string{"id: 0\ndata: x"}, "id: 1\ndata: x", true, true},
		{"the next number behind the client's", "12", []string{"id: 13\ndata: x"}, "id: 14\ndata: x", true, true},
		{"a gap", "", []string{"id: 1\ndata: x"}, "id: 3\ndata: x", true, false},
		{"a gap behind the client's", "12", []string{"id: 13\ndata: x"}, "id: 15\ndata: x", true, false},
		{"the last event", "", []string{"id: 1\ndata: x", "id: 2\ndata: x"}, "id: 2\ndata: x", true, false},
		{"the first event", "", []string{"id: 1\ndata: x", "id: 2\ndata: x"}, "id: 1\ndata: x", true, false},
		{"a higher number behind gaps", "", []string{"id: 10\ndata: x", "id: 20\ndata: x"}, "id: 30\ndata: x", true, true},
		{"a lower number behind gaps", "", []string{"id: 10\ndata: x", "id: 20\ndata: x"}, "id: 15\ndata: x", true, false},
		{"other IDs", "", []string{"id: a\ndata: x", "id: b\ndata: x"}, "id: c\ndata: x", true, true},
		{"the first of other IDs", "", []string{"id: a\ndata: x", "id: b\ndata: x"}, "id: a\ndata: x", true, false},
		{"no ID", "", []string{"id: 1\ndata: x"}, "data: x", true, false},
		{"an event without ID", "", []string{"id: 1\ndata: x", "data: x"}, "id: 2\ndata: x", false, false},
		{"no event", "", nil, "id: 1\ndata: x", true, true},
		{"comments", "", []string{": ping", "retry: 100"}, "id: 1\ndata: x", true, true},
		{"a field of its own before the ID", "", []string{"x-weight-versions: 2\nid: 1\ndata: x"}, "id: 2\ndata: x", true, true},
		{"text", "", []string{"<html>"}, "id: 1\ndata: x", false, true},
	} {
		sequence := eventSequence{after: c.after}
		for _, event := range c.events {
			sequence.add([]byte(event))
		}
		if got := sequence.isResumable(); got != c.resumable {
			t.Errorf("%s: resumable is %v, want %v", c.name, got, c.resumable)
		}
		if got := sequence.isContinuedBy([]byte(c.next)); c.resumable && got != c.continued {
			t.Errorf("%s: continued is %v, want %v", c.name, got, c.continued)
		}
	}
}
