package forward

import (
	"context"

	"github.com/sequoiapick/sequoiapick/internal/inventory"
	"github.com/sequoiapick/sequoiapick/internal/quarantine"
	"github.com/sequoiapick/sequoiapick/pkg/problem"
)

// BrokenAttempt is an attempt at a target whose connection was broken off. It is a crash if the target has ended.
type BrokenAttempt struct {
	quarantine.Crash
	// Address is that of the target.
	Address string
}

// fingerprint returns the fingerprint of the request.
func (q *requestState) fingerprint() quarantine.Fingerprint {
	if q.requestFingerprint == nil {
		h := q.request.Header
		f := quarantine.FingerprintOf(q.account, h.Method(), h.Peek("Host"), h.RequestURI(), q.request.Body)
		q.requestFingerprint = &f
	}
	return *q.requestFingerprint
}

// checkQuarantine returns an error of kind Quarantined if the request, or a part of its prompt, crashes targets.
func (q *requestState) checkQuarantine() error {
	if q.f.Quarantine == nil {
		return nil
	}
	if f := q.fingerprint(); q.f.Quarantine.BlocksRequest(f) {
		return problem.New(problem.Quarantined, "the request with the fingerprint %s crashes targets", f)
	}
	ids := make([]string, 0, len(q.headers.Parts))
	for _, p := range q.headers.Parts {
		ids = append(ids, p.ID)
	}
	if part, blocked := q.f.Quarantine.Blocks(q.service, ids); blocked {
		return problem.New(problem.Quarantined, "part %s of the prompt crashes targets of %s", part.ID, part.Service)
	}
	return nil
}

// attemptBroken reports that the connection to a target was broken off after the request was sent, unless the request is
// over.
func (q *requestState) attemptBroken(ctx context.Context, target inventory.Target) {
	if q.f.Quarantine == nil || q.isOver(ctx) {
		return
	}
	q.f.AttemptBroken(BrokenAttempt{
		Crash:   quarantine.Crash{Service: target.Service, Request: q.fingerprint(), Attempt: q.headers.AttemptID, Target: target.ID, Incarnation: target.StartUnixMillis},
		Address: target.Address,
	})
}

// recordAnswered records that a target has answered the request.
func (q *requestState) recordAnswered() {
	if q.f.Quarantine != nil {
		q.f.RequestAnswered(q.fingerprint())
	}
}
