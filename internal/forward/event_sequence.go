package forward

import (
	"bytes"
	"strconv"
)

// eventSequence follows the IDs of the events that the client has got, so that only an answer that goes on behind
// them is joined to them. The zero value has no events.
type eventSequence struct {
	// after is the event after which the client asked for the stream, empty for a new stream.
	after string
	// first and last are the IDs of the first and the last event. hasID is set if the last event has one.
	first, last string
	hasID       bool
	// count is the number of events.
	count int
	// gaps is set once an ID isn't the number behind that of the event before; the first event of a new stream
	// has the number 0 or 1.
	gaps bool
	// opaque is set once the stream has held what is neither an event nor a comment.
	opaque bool
}

// add records a block of the stream: an event without the blank line that ends it, or a comment.
func (e *eventSequence) add(block []byte) {
	if !hasData(block) {
		e.opaque = e.opaque || !isComment(block)
		return
	}
	id := findLastEventID(block)
	previous := e.last
	if e.count == 0 {
		e.first, previous = id, e.after
	}
	e.gaps = e.gaps || !isNext(previous, id) && !(previous == "" && id == "0")
	e.hasID = id != ""
	if e.hasID {
		e.last = id
	}
	e.count++
}

// isResumable reports whether another answer can go on behind the last event.
func (e *eventSequence) isResumable() bool {
	return !e.opaque && (e.count == 0 || e.hasID)
}

// isContinuedBy reports whether an event goes on behind the last one. If the IDs have been consecutive numbers so far,
// it must have the next number, otherwise a higher one. IDs that aren't numbers must not be those of the first or the
// last event.
func (e *eventSequence) isContinuedBy(event []byte) bool {
	id := findLastEventID(event)
	if e.count == 0 {
		return true
	}
	if id == "" || id == e.first || id == e.last {
		return false
	}
	if !e.gaps {
		return isNext(e.last, id)
	}
	last, lastErr := strconv.ParseUint(e.last, 10, 64)
	next, nextErr := strconv.ParseUint(id, 10, 64)
	return lastErr != nil || nextErr != nil || next > last
}

// isNext reports whether an ID is the number behind that of the event before, of which an empty one counts as 0.
func isNext(previous, id string) bool {
	if previous == "" {
		previous = "0"
	}
	last, lastErr := strconv.ParseUint(previous, 10, 63)
	next, nextErr := strconv.ParseUint(id, 10, 63)
	return lastErr == nil && nextErr == nil && next == last+1
}

// hasData reports whether a block is an event: a block without data isn't.
func hasData(block []byte) bool {
	for line := range bytes.SplitSeq(block, []byte("\n")) {
		if bytes.HasPrefix(line, []byte("data:")) || bytes.Equal(line, []byte("data")) {
			return true
		}
	}
	return false
}

// commentPrefixes are the starts of lines that are no event on their own.
var commentPrefixes = [][]byte{[]byte(":"), []byte("event:"), []byte("id:"), []byte("retry:")}

// isComment reports whether each line of a block without data is a comment or one of the fields of events.
func isComment(block []byte) bool {
	for line := range bytes.SplitSeq(bytes.TrimSpace(block), []byte("\n")) {
		known := len(line) == 0
		for _, prefix := range commentPrefixes {
			known = known || bytes.HasPrefix(line, prefix)
		}
		if !known {
			return false
		}
	}
	return true
}
