package forward

import (
	"bytes"
	"context"
	"errors"
	"io"
	"strings"
	"time"

	"github.com/sequoiapick/sequoiapick/internal/exchange"
	"github.com/sequoiapick/sequoiapick/internal/memory"
	"github.com/sequoiapick/sequoiapick/pkg/problem"
	"github.com/sequoiapick/sequoiapick/pkg/route"
	"github.com/sequoiapick/sequoiapick/platform"
)

// stream relays the events of one answer to the client; several engines may contribute to
// it, one after the other.
type stream struct {
	request     *requestState
	lastEventID string
	// sequence follows the events that the client has got.
	sequence eventSequence
	// mediaType is that of the first answer, empty if it didn't state one.
	mediaType string
	// joining is set while an answer that is to continue the stream has had no event yet.
	joining bool
	// events is the number of writes of events to the client.
	events int
	// firstEventAt is when the first event of the last answer arrived, zero if none did.
	firstEventAt time.Time
	// pending holds the bytes of an incomplete event.
	pending []byte
	times   eventTimes
	// ahead writes to the client if a budget of memory applies, otherwise it is nil.
	ahead *readAhead
	// answerRead is called once an answer was read completely, before its rest is written, if ahead is
	// set.
	answerRead func()
	// pendingHeld is the memory that is held for pending, in bytes.
	pendingHeld int64
}

var errClientWrite = errors.New("writing to the client failed")

func (s *stream) started() bool { return s.request.w.Started() }

// relay forwards the events of an answer as they arrive; an incomplete event at the end of
// a broken answer is dropped. The length of a resumable answer is left open, since another
// engine may continue it. The error is errClientWrite, or that of reading the answer.
func (s *stream) relay(ctx context.Context, answer *exchange.Answer) error {
	s.pending = s.pending[:0]
	s.joining = s.started()
	if s.joining {
		if err := s.checkContinuation(answer); err != nil {
			return err
		}
	} else {
		s.mediaType = mediaTypeOf(answer)
		s.sequence.after = s.request.headers.LastEventID
		length := int64(answer.Length)
		if answer.Length < 0 || s.request.route.Resumable {
			length = -1
		}
		if err := s.request.w.Start(answer.Head.Status, platform.AppendAnswerFields(nil, &answer.Header), length); err != nil {
			return errClientWrite
		}
		if s.request.request.Memory != nil {
			s.ahead = s.request.startReadAhead(ctx)
		}
	}
	if s.ahead != nil {
		s.ahead.longestWait = 0
	}
	eventsBefore := s.events
	buffer := make([]byte, 4096)
	for {
		n, err := answer.Body.Read(buffer)
		if n > 0 {
			before := s.events
			if relayErr := s.relayEvents(buffer[:n]); relayErr != nil {
				return relayErr
			}
			if memoryErr := s.holdPending(ctx); memoryErr != nil {
				return memoryErr
			}
			if s.events > before {
				if before == eventsBefore {
					s.firstEventAt = s.request.now()
				}
				answer.Progressed()
			}
		}
		if err == io.EOF && (s.brokenOff(answer, s.events == eventsBefore) || s.joining && !s.statesType(answer)) {
			return io.ErrUnexpectedEOF
		}
		if err == io.EOF {
			return s.finish()
		}
		if err != nil {
			return err
		}
	}
}

// eventStreamType is the media type of streams.
const eventStreamType = "text/event-stream"

// mediaTypeOf returns the media type of an answer in lower case, without parameters; empty if it states none.
func mediaTypeOf(answer *exchange.Answer) string {
	name, _, _ := strings.Cut(string(answer.Header.ContentType()), ";")
	return strings.ToLower(strings.TrimSpace(name))
}

// statesType reports whether an answer states the type of the stream; if its first answer stated none, as that does.
func (s *stream) statesType(answer *exchange.Answer) bool {
	got := mediaTypeOf(answer)
	return got == s.mediaType || s.mediaType == "" && got == eventStreamType
}

// checkContinuation returns an error of kind TargetFailed if the head of an answer shows that it isn't the rest of the
// stream: it states another type, or is encoded.
func (s *stream) checkContinuation(answer *exchange.Answer) error {
	if got := mediaTypeOf(answer); got != "" && !s.statesType(answer) || answer.Head.Encoded {
		return problem.New(problem.TargetFailed, "an answer of type %q, encoded %v, doesn't continue a stream of type %q", got, answer.Head.Encoded, s.mediaType)
	}
	return nil
}

// isResumable reports whether another answer can continue the stream. What the client has got must end with an event
// that has an ID.
func (s *stream) isResumable() bool {
	return s.request.route.Resumable && s.sequence.isResumable()
}

// joinEvents drops what is before the first event of an answer that is to continue the stream, and returns the rest.
// Its error is of kind TargetFailed if that event, or what is no event, shows that the answer doesn't.
func (s *stream) joinEvents(whole []byte) ([]byte, error) {
	for len(whole) > 0 {
		end := bytes.Index(whole, eventSeparator) + len(eventSeparator)
		block := whole[:end]
		switch {
		case hasData(block) && s.sequence.isContinuedBy(block):
			s.joining = false
			return whole, nil
		case hasData(block) || !isComment(block):
			return nil, problem.New(problem.TargetFailed, "the answer doesn't go on behind event %q: %.60q", s.sequence.last, block)
		}
		whole = whole[end:]
	}
	return nil, nil
}

// brokenOff reports whether the end of an answer shows that it isn't complete: it ends inside an
// event, or with its connection before any event.
func (s *stream) brokenOff(answer *exchange.Answer, empty bool) bool {
	if s.request.route.Kind != route.Streaming {
		return false
	}
	return len(bytes.TrimSpace(s.pending)) > 0 || empty && answer.Framing == exchange.Connection
}

// eventSeparator ends each event of a stream.
var eventSeparator = []byte("\n\n")

// maxEventBytes is the largest event, and what is buffered of an answer that isn't a stream. A faulty
// engine may send bytes without end in which no event ends.
const maxEventBytes = 1 << 20

// relayEvents forwards the events that p completes and stores the rest. The error is
// errClientWrite, or of kind TargetFailed if an event exceeds maxEventBytes.
func (s *stream) relayEvents(p []byte) error {
	// The separator may begin with the last byte before p.
	searched := max(len(s.pending)-len(eventSeparator)+1, 0)
	s.pending = append(s.pending, p...)
	end := bytes.LastIndex(s.pending[searched:], eventSeparator)
	switch {
	case end >= 0:
		end += searched + len(eventSeparator)
	case len(s.pending) <= maxEventBytes:
		return nil
	case s.request.route.Kind == route.Streaming:
		return problem.New(problem.TargetFailed, "an event has more than %d bytes", maxEventBytes)
	default: // the answer isn't a stream
		end = len(s.pending)
	}
	whole := s.pending[:end]
	if s.joining {
		joined, err := s.joinEvents(whole)
		if err != nil {
			return err
		}
		whole = joined
	}
	if len(whole) == 0 {
		s.pending = append(s.pending[:0], s.pending[end:]...)
		return nil
	}
	s.recordEvents(whole)
	s.events++
	s.times.eventsArrived(bytes.Count(whole, eventSeparator))
	if err := s.write(whole); err != nil {
		return err
	}
	if id := findLastEventID(whole); id != "" {
		s.lastEventID = id
	}
	s.pending = append(s.pending[:0], s.pending[end:]...)
	return nil
}

// recordEvents adds events to the sequence if the stream may have to be resumed.
func (s *stream) recordEvents(whole []byte) {
	if !s.request.route.Resumable {
		return
	}
	for block := range bytes.SplitSeq(bytes.TrimSuffix(whole, eventSeparator), eventSeparator) {
		s.sequence.add(block)
	}
}

// write passes bytes to the client, through ahead if it is set.
func (s *stream) write(p []byte) error {
	if s.ahead != nil {
		_, err := s.ahead.Write(p)
		return err
	}
	if _, err := s.request.w.Write(p); err != nil {
		return errClientWrite
	}
	return nil
}

// minHeldPendingBytes is the size from which an incomplete event is counted in the budget. A smaller one is
// part of ingress.RequestBytes.
const minHeldPendingBytes = 8 << 10

// holdPending takes the memory of an incomplete event from the budget. Its error has kind Cancelled or
// Overloaded.
func (s *stream) holdPending(ctx context.Context) error {
	holder := s.request.request.Memory
	need := int64(cap(s.pending))
	if holder == nil || need == s.pendingHeld || need < minHeldPendingBytes {
		return nil
	}
	if err := holder.Acquire(ctx, memory.ReadAhead, need-s.pendingHeld); err != nil {
		return err
	}
	s.pendingHeld = need
	return nil
}

// awaitClient waits until the client has got everything that was read so far. It returns the error of
// writing to it.
func (s *stream) awaitClient() error {
	if s.ahead == nil {
		return nil
	}
	return s.ahead.awaitClient()
}

// closeAhead waits until the client has got everything that was read or can't be written to.
func (s *stream) closeAhead() error {
	if s.ahead == nil {
		return nil
	}
	return s.ahead.close()
}

// throttled reports whether the last answer was read so slowly, for the sake of the client, that its
// target may have cut it off for that.
func (s *stream) throttled() bool {
	return s.ahead != nil && s.ahead.longestWait > maxUnreadTime
}

// maxUnreadTime is the time without a read after which the cut of an answer isn't counted as a failure of
// its target. Targets cut off answers that stay unread for some seconds.
const maxUnreadTime = time.Second

// finish forwards trailing bytes that are not an event, such as white space or an answer that isn't a
// stream, and ends the body.
func (s *stream) finish() error {
	if len(s.pending) > 0 {
		if err := s.write(s.pending); err != nil {
			return err
		}
	}
	if s.ahead != nil {
		s.answerRead()
		if err := s.ahead.close(); err != nil {
			return err
		}
	}
	if s.request.w.End() != nil {
		return errClientWrite
	}
	return nil
}

// findLastEventID returns the ID of the last event that has one, or "".
func findLastEventID(events []byte) string {
	lines := bytes.Split(events, []byte("\n"))
	for i := len(lines) - 1; i >= 0; i-- {
		if id, ok := bytes.CutPrefix(lines[i], []byte("id:")); ok {
			return string(bytes.TrimSpace(id))
		}
	}
	return ""
}
