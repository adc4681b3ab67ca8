// Package draft keeps asynchronous requests, whose answers can wait but must arrive.
//
// A draft is accepted only once its input is in the object store and its row in the
// platform's table. The row names the daemon that runs it. Another daemon takes a
// draft over by a conditional update of the row when the owner is gone; finished
// stages are checkpointed as objects, so that they aren't paid for twice. Exactly one
// transaction moves the row from open to done.
//
// # Usage
//
//	record, err := store.Accept(ctx, draft.Record{ID: id, ...}, input)
//	record, err = store.TakeOver(ctx, record)
//	err = store.Finish(ctx, record, outcome)
package draft

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/sequoiapick/sequoiapick/internal/idempotency"
	"github.com/sequoiapick/sequoiapick/internal/platform"
	"github.com/sequoiapick/sequoiapick/pkg/problem"
)

// IDPrefix starts the ID of every asynchronous request.
const IDPrefix = "draft-"

const (
	openPrefix   = "draft/open/"
	donePrefix   = "draft/done/"
	objectPrefix = "draft/"
	// scanLimit bounds the open drafts read in one scan.
	scanLimit = 256
)

// Record is the row of one draft.
type Record struct {
	ID          string
	Account     string
	Pipeline    string
	Tier        string
	Fingerprint uint64
	Accepted    time.Time
	Deadline    time.Time
	// Owner is the incarnation that runs the draft.
	Owner string
	// OwnerDataCentre is where the owner is a member.
	OwnerDataCentre string
	// Takeovers counts the changes of the owner.
	Takeovers int
	// Intents lists the non-idempotent stages that may have been sent.
	Intents []int
	// Failure is set when the draft ended without an answer.
	Failure problem.Kind
	Detail  string

	revision uint64
}

// Store keeps drafts in the platform's table and object store.
type Store struct {
	Table       platform.Table
	Objects     platform.Objects
	Incarnation string
	DataCentre  string
}

// Accept makes a draft durable, together with the other conditions and writes. A draft
// with the same ID that was accepted before is returned as it is, with kind Conflict;
// a conflict without a draft means that one of the other conditions didn't hold.
func (s *Store) Accept(ctx context.Context, r Record, input []byte, with platform.Transaction) (Record, error) {
	r.Owner = s.Incarnation
	r.OwnerDataCentre = s.DataCentre
	if err := s.Objects.PutObject(ctx, objectPrefix+r.ID+"/input", input); err != nil {
		return r, err
	}
	value, err := encode(r)
	if err != nil {
		return r, err
	}
	revision, err := s.Table.Commit(ctx, platform.Transaction{
		Conditions: append(with.Conditions, platform.Condition{Key: openPrefix + r.ID}, platform.Condition{Key: donePrefix + r.ID}),
		Writes:     append(with.Writes, platform.Write{Key: openPrefix + r.ID, Value: value}),
	})
	r.revision = revision
	if err == nil {
		return r, nil
	}
	known, _, found, readErr := s.Read(ctx, r.ID)
	switch {
	case readErr == nil && !found && problem.Of(err) == problem.Conflict:
		return Record{}, err
	case readErr != nil || !found:
		return r, problem.New(problem.Unavailable, "whether the draft was accepted is unknown: %v", err)
	case known.Owner == r.Owner && known.Accepted.Equal(r.Accepted):
		return known, nil
	default:
		return known, problem.New(problem.Conflict, "draft %q exists", r.ID)
	}
}

// Read returns the draft's row, and whether it is done.
func (s *Store) Read(ctx context.Context, id string) (r Record, done, found bool, err error) {
	for _, prefix := range []string{donePrefix, openPrefix} {
		row, ok, err := s.Table.Get(ctx, prefix+id)
		if err != nil {
			return r, false, false, err
		}
		if ok {
			r, err = decode(row)
			return r, prefix == donePrefix, err == nil, err
		}
	}
	return r, false, false, nil
}

// ListOpen returns drafts that are not done, in the order of their IDs behind after.
func (s *Store) ListOpen(ctx context.Context, after string) ([]Record, error) {
	rows, err := s.Table.Scan(ctx, openPrefix, openPrefix+after, scanLimit)
	if err != nil {
		return nil, err
	}
	records := make([]Record, 0, len(rows))
	for _, row := range rows {
		r, err := decode(row)
		if err != nil {
			return nil, err
		}
		records = append(records, r)
	}
	return records, nil
}

// TakeOver makes this daemon the owner; kind Conflict means that another was faster.
func (s *Store) TakeOver(ctx context.Context, r Record) (Record, error) {
	r.Owner = s.Incarnation
	r.OwnerDataCentre = s.DataCentre
	r.Takeovers++
	return s.update(ctx, r)
}

// update writes the row if it is unchanged; a lost answer is resolved by reading back.
func (s *Store) update(ctx context.Context, r Record) (Record, error) {
	value, err := encode(r)
	if err != nil {
		return r, err
	}
	revision, err := s.Table.Commit(ctx, platform.Transaction{
		Conditions: []platform.Condition{{Key: openPrefix + r.ID, Revision: r.revision}},
		Writes:     []platform.Write{{Key: openPrefix + r.ID, Value: value}},
	})
	if err == nil {
		r.revision = revision
		return r, nil
	}
	if problem.Of(err) == problem.Conflict {
		return r, err
	}
	known, done, found, readErr := s.Read(ctx, r.ID)
	if readErr == nil && found && !done && known.Owner == r.Owner && known.Takeovers == r.Takeovers && slices.Equal(known.Intents, r.Intents) {
		return known, nil
	}
	return r, err
}

// Input returns the input of the draft.
func (s *Store) Input(ctx context.Context, id string) ([]byte, error) {
	body, found, err := s.Objects.GetObject(ctx, objectPrefix+id+"/input")
	if err == nil && !found {
		err = problem.New(problem.Internal, "input of draft %q is missing", id)
	}
	return body, err
}

// Answer returns the answer of a draft that is done.
func (s *Store) Answer(ctx context.Context, r Record) ([]byte, error) {
	body, found, err := s.Objects.GetObject(ctx, answerKey(r))
	if err == nil && !found {
		err = problem.New(problem.Internal, "answer of draft %q is missing", r.ID)
	}
	return body, err
}

// answerKey differs between owners, so that a former owner can't replace the answer of
// the present one; the row that is done names the owner whose answer counts.
func answerKey(r Record) string {
	return fmt.Sprintf("%s%s/answer/%d", objectPrefix, r.ID, r.Takeovers)
}

// Finish stores the outcome; kind Conflict means that the draft belongs to another
// daemon or is done already, and that the outcome is to be dropped.
func (s *Store) Finish(ctx context.Context, r Record, outcome idempotency.Outcome) error {
	if outcome.Failure == "" {
		if err := s.Objects.PutObject(ctx, answerKey(r), outcome.Body); err != nil {
			return err
		}
	}
	r.Failure = outcome.Failure
	r.Detail = outcome.Detail
	value, err := encode(r)
	if err != nil {
		return err
	}
	_, err = s.Table.Commit(ctx, platform.Transaction{
		Conditions: []platform.Condition{{Key: openPrefix + r.ID, Revision: r.revision}},
		Writes: []platform.Write{
			{Key: openPrefix + r.ID, Delete: true},
			{Key: donePrefix + r.ID, Value: value},
		},
	})
	return err
}

// Checkpoints keeps the stage results of one draft under one owner.
type Checkpoints struct {
	Store  *Store
	Record *Record

	// ran says that this owner has run a stage, so that results of former owners for
	// later stages no longer belong to the same run.
	ran     bool
	outputs map[int][]byte
}

// Load returns the output of a stage that a former owner has finished. A non-idempotent
// stage that may have been sent and has no output fails with kind OutcomeUnknown.
func (c *Checkpoints) Load(ctx context.Context, stage int) ([]byte, bool, error) {
	if output, ok := c.outputs[stage]; ok {
		return output, true, nil
	}
	for takeover := c.Record.Takeovers - 1; takeover >= 0 && !c.ran; takeover-- {
		body, found, err := c.Store.Objects.GetObject(ctx, c.key(takeover, stage))
		if err != nil || found {
			return body, found, err
		}
	}
	if slices.Contains(c.Record.Intents, stage) {
		return nil, false, problem.New(problem.OutcomeUnknown, "stage %d may have been sent, and its output isn't known", stage)
	}
	return nil, false, nil
}

// RecordIntent records that a non-idempotent stage is about to be sent.
func (c *Checkpoints) RecordIntent(ctx context.Context, stage int) error {
	next := *c.Record
	next.Intents = append(slices.Clone(next.Intents), stage)
	updated, err := c.Store.update(ctx, next)
	if err != nil {
		return err
	}
	*c.Record = updated
	return nil
}

// Save keeps the output of a finished stage here and, for a later owner, in the object
// store. A later owner that finds none repeats the stage or, if it may not be repeated,
// ends with an unknown outcome.
func (c *Checkpoints) Save(ctx context.Context, stage int, output []byte) error {
	c.ran = true
	if c.outputs == nil {
		c.outputs = map[int][]byte{}
	}
	c.outputs[stage] = output
	_ = c.Store.Objects.PutObject(ctx, c.key(c.Record.Takeovers, stage), output)
	return nil
}

func (c *Checkpoints) key(takeover, stage int) string {
	return fmt.Sprintf("%s%s/stage/%d/%d", objectPrefix, c.Record.ID, takeover, stage)
}

func encode(r Record) ([]byte, error) {
	value, err := json.Marshal(r)
	if err != nil {
		return nil, problem.New(problem.Internal, "encode draft: %v", err)
	}
	return value, nil
}

func decode(row platform.Row) (Record, error) {
	var r Record
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return r, problem.New(problem.Internal, "draft row: %v", err)
	}
	r.revision = row.Revision
	return r, nil
}
