package forward

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/sequoiapick/sequoiapick/internal/event"
	"github.com/sequoiapick/sequoiapick/internal/exchange"
	"github.com/sequoiapick/sequoiapick/internal/inventory"
	"github.com/sequoiapick/sequoiapick/pkg/problem"
	"github.com/sequoiapick/sequoiapick/platform"
)

const (
	// identityTimeout bounds all queries for the identity of a target. The query for the report needs no
	// slot, a health check may wait for one.
	identityTimeout = time.Second
	// maxIdentityBytes bounds the answer to a query.
	maxIdentityBytes = 64 << 10
	// unframedRetention is how long a target that has sent an answer without a length or chunks is expected
	// to send more of them.
	unframedRetention = 30 * time.Second
	// identityConnections is the class of the connections for identity queries.
	identityConnections = "identity"
)

// unframedTargets holds when targets last sent an answer that ends with its connection, by ID; the zero value
// is empty.
type unframedTargets struct {
	mu   sync.Mutex
	seen map[string]time.Time
}

// record records that the target has sent such an answer.
func (u *unframedTargets) record(id string, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.seen == nil {
		u.seen = map[string]time.Time{}
	}
	for other, at := range u.seen {
		if now.Sub(at) > unframedRetention {
			delete(u.seen, other)
		}
	}
	u.seen[id] = now
}

// expects reports whether the target is expected to send such an answer.
func (u *unframedTargets) expects(id string, now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	at, ok := u.seen[id]
	return ok && now.Sub(at) <= unframedRetention
}

// openWitness opens the connection on which the start of the target is confirmed after its answer, if that is
// expected to have neither a length nor chunks. It must be open before the request is sent.
func (q *requestState) openWitness(ctx context.Context, target inventory.Target) {
	q.closeWitness()
	if !q.f.unframed.expects(target.ID, q.f.Clock.Now()) {
		return
	}
	conn, err := q.f.Pool.Open(ctx, target.Address, exchange.OpenOptions{Class: identityConnections})
	if err != nil {
		return // the request fails in the same way, or its answer may be framed
	}
	q.witness = conn
}

// closeWitness releases the connection of openWitness.
func (q *requestState) closeWitness() {
	if q.witness != nil {
		q.f.Pool.Release(q.witness)
		q.witness = nil
	}
}

// confirmStart returns an error unless the start of the target that answered a request, sent at the given
// time, still runs. The end of an answer that ends with its connection is the end of the answer only then.
// Another start may have the address, and even the ID. Two things tell starts apart: an answer on a connection
// that was opened before the request was sent, which a start that has ended doesn't give, and the time of the
// start, if the target states it in its report.
func (q *requestState) confirmStart(ctx context.Context, target inventory.Target, sentAt time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, identityTimeout)
	defer cancel()
	err := q.confirmByConnection(ctx, target, sentAt)
	if err != nil && problem.Of(err) != problem.TargetFailed {
		err = q.confirmByReport(ctx, target)
	}
	if err != nil {
		q.f.Log.Emit(event.AnswerUnconfirmed, "Request", q.headers.AttemptID, "Target", target.ID, "Reason", err.Error())
	}
	return err
}

// errNoStart means that a target doesn't state the time of its start.
var errNoStart = problem.New(problem.Unavailable, "the target doesn't state when it started")

// confirmByReport returns an error unless the target states in its report that it is the known start. Targets
// of plain services have no report.
func (q *requestState) confirmByReport(ctx context.Context, target inventory.Target) error {
	service := q.table.Services[target.Service]
	if service.Engine == nil && service.Batch == nil {
		return errNoStart
	}
	conn, err := q.f.Pool.Open(ctx, target.Address, exchange.OpenOptions{Reuse: exchange.Fresh, Class: identityConnections})
	if err != nil {
		return err
	}
	identity, err := q.f.queryIdentity(ctx, conn, target, platform.ReportPath)
	switch {
	case err != nil:
		return err
	case identity.Misdirected || identity.ID != "" && identity.ID != target.ID:
		return problem.New(problem.TargetFailed, "target %q answers instead of %s", identity.ID, target.ID)
	case identity.StartUnixMillis == 0:
		return errNoStart
	case identity.StartUnixMillis != target.StartUnixMillis:
		return problem.New(problem.TargetFailed, "target %s has started again", target.ID)
	default:
		return nil
	}
}

// confirmByConnection returns an error unless the target identifies itself at the path of its health check on
// a connection that was opened before the time. The error is of kind TargetFailed if another target answers.
func (q *requestState) confirmByConnection(ctx context.Context, target inventory.Target, before time.Time) error {
	path := q.table.Services[target.Service].HealthPath
	if path == "" {
		return errNoStart
	}
	for {
		conn := q.witness
		q.witness = nil
		if conn == nil {
			var err error
			if conn, err = q.f.Pool.Open(ctx, target.Address, exchange.OpenOptions{OpenedBefore: before}); err != nil {
				return err
			}
		}
		identity, err := q.f.queryIdentity(ctx, conn, target, path)
		switch {
		case ctx.Err() != nil:
			return problem.New(problem.Late, "%v", context.Cause(ctx))
		case err != nil:
			continue // the target may have closed this idle connection; another one may be open
		case identity.ID == target.ID:
			return nil
		case identity.Misdirected || identity.ID != "":
			return problem.New(problem.TargetFailed, "target %q answers instead of %s", identity.ID, target.ID)
		default:
			return problem.New(problem.Unavailable, "the answer at %s doesn't name its target", path)
		}
	}
}

// queryIdentity asks the target at the path who it is, and releases the connection. Its error is a SendError,
// or of kind Unavailable.
func (f *Forwarder) queryIdentity(ctx context.Context, conn *exchange.Conn, target inventory.Target, path string) (platform.Identity, error) {
	f.Limits.RecordSend(f.Clock.Now(), target.ID, target.StartUnixMillis)
	answer, err := conn.Do(ctx, exchange.Request{Head: platform.AppendIdentityQuery(nil, path, target.ID, target.Address), SelfDelimiting: true})
	if err != nil {
		f.Pool.Discard(conn)
		return platform.Identity{}, err
	}
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxIdentityBytes))
	switch {
	case err != nil:
		err = problem.New(problem.Unavailable, "identity of target %s: %v", target.ID, err)
	case answer.Head.AttemptID != "":
		err = problem.New(problem.Unavailable, "the answer of target %s belongs to another request", target.ID)
	}
	if err != nil {
		f.Pool.Discard(conn)
		return platform.Identity{}, err
	}
	f.Pool.Release(conn)
	return platform.DecodeIdentity(&answer.Header, body), nil
}
