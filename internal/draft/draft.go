// Package draft stores Drafts. A Draft is an asynchronous request: the caller receives its ID
// at once and fetches the answer later, and the request survives the daemon that accepted it.
//
// A Draft is accepted only when its input is in the object store and its row in the
// platform's table. The row contains the incarnation of the daemon that runs the Draft, its
// owner. When the owner is gone, another daemon takes the Draft over by a conditional update
// of the row. The outputs of finished stages are stored as objects, so that the stages aren't
// run and paid for twice. Exactly one transaction moves the row from open to done.
//
// # Usage
//
//	record, err := store.Accept(ctx, draft.Record{ID: id, ...}, input, platform.Transaction{})
//	record, err = store.TakeOver(ctx, record)
//	err = store.Finish(ctx, record, outcome)
package draft

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/sequoiapick/sequoiapick/internal/idempotency"
	"github.com/sequoiapick/sequoiapick/internal/platform"
	"github.com/sequoiapick/sequoiapick/pkg/problem"
)

// IDPrefix starts the ID of every asynchronous request.
const IDPrefix = "draft-"

const (
	// openPrefix and donePrefix start the table keys of open and done drafts.
	openPrefix = "draft/open/"
	donePrefix = "draft/done/"
	// objectPrefix starts the object keys of inputs, stage outputs and answers.
	objectPrefix = "draft/"
	// scanLimit limits the open drafts that one scan reads.
	scanLimit = 256
)

// Record is the row of one draft. Its JSON form is stored.
type Record struct {
	ID          string
	Account     string
	Pipeline    string
	Tier        string
	Fingerprint uint64
	// Accepted is the time at which the draft was accepted.
	Accepted time.Time
	// Deadline is the time by which the whole answer must have been produced.
	Deadline time.Time
	// Owner is the incarnation that runs the draft.
	Owner string
	// OwnerDataCentre is the data centre of which the owner is a member.
	OwnerDataCentre string
	// Takeovers is the number of times that the owner has changed.
	Takeovers int
	// Intents lists the non-idempotent stages that may have been sent, by their index in the
	// pipeline.
	Intents []int
	// Failure is set when the draft ended without an answer. Detail describes it in a
	// sentence.
	Failure problem.Kind
	Detail  string

	// revision is the revision of the row in the table.
	revision uint64
}

// Store stores drafts in the platform's table and object store. Incarnation and DataCentre are
// those of this daemon.
type Store struct {
	Table       platform.Table
	Objects     platform.Objects
	Incarnation string
	DataCentre  string
	Clock       clockwork.Clock

	own ownDrafts
}

// Accept stores a draft in one transaction with the conditions and writes of extra. If a draft
// with the same ID was accepted before, Accept returns it with an error of kind Conflict. A
// Conflict with an empty Record means that a condition of extra didn't hold. Kind Unavailable
// means that the draft may have been accepted.
func (s *Store) Accept(ctx context.Context, r Record, input []byte, extra platform.Transaction) (Record, error) {
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
		Conditions: append(extra.Conditions, platform.Condition{Key: openPrefix + r.ID}, platform.Condition{Key: donePrefix + r.ID}),
		Writes:     append(extra.Writes, platform.Write{Key: openPrefix + r.ID, Value: value}),
	})
	r.revision = revision
	if err == nil {
		s.own.keep(r, input, extra.Writes)
		return r, nil
	}
	stored, _, found, readErr := s.Read(ctx, r.ID)
	switch {
	case readErr == nil && !found && problem.Of(err) == problem.Conflict:
		return Record{}, err
	case readErr != nil || !found:
		return r, problem.New(problem.Unavailable, "whether the draft was accepted is unknown: %v", err)
	case stored.Owner == r.Owner && stored.Accepted.Equal(r.Accepted):
		s.own.keep(stored, input, extra.Writes)
		return stored, nil
	default:
		return stored, problem.New(problem.Conflict, "draft %q exists", r.ID)
	}
}

// Read returns the draft, whether it is done, and whether there is one.
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

// ListOpen returns up to scanLimit drafts that aren't done, ordered by ID, starting after the
// ID in after.
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

// TakeOver makes this daemon the owner of the draft with the input. Kind Conflict means that the draft has
// changed meanwhile, for example because another daemon has taken it over.
func (s *Store) TakeOver(ctx context.Context, r Record, input []byte) (Record, error) {
	s.own.drop(r.ID) // from an earlier time as the owner
	r.Owner = s.Incarnation
	r.OwnerDataCentre = s.DataCentre
	r.Takeovers++
	taken, err := s.update(ctx, r)
	if err == nil {
		s.own.keep(taken, input, nil)
	}
	return taken, err
}

// update writes the row if its revision is unchanged. If the reply is lost, it reads the row
// back to find out whether the write took effect.
func (s *Store) update(ctx context.Context, r Record) (Record, error) {
	value, err := encode(r)
	if err != nil {
		return r, err
	}
	revision, err := s.commitOpen(ctx, r, platform.Write{Key: openPrefix + r.ID, Value: value})
	if err == nil {
		r.revision = revision
		s.own.update(r)
		return r, nil
	}
	if problem.Of(err) == problem.Conflict {
		return r, err
	}
	stored, done, found, readErr := s.Read(ctx, r.ID)
	if readErr == nil && found && !done && stored.Owner == r.Owner && stored.Takeovers == r.Takeovers && slices.Equal(stored.Intents, r.Intents) {
		return stored, nil
	}
	return r, err
}

// commitOpen commits writes if the row of an open draft is unchanged. Kind Conflict means that it isn't,
// also after a restore of the table.
func (s *Store) commitOpen(ctx context.Context, r Record, writes ...platform.Write) (uint64, error) {
	for {
		condition := platform.Condition{Key: openPrefix + r.ID, Revision: s.own.revision(r)}
		revision, err := s.Table.Commit(ctx, platform.Transaction{Conditions: []platform.Condition{condition}, Writes: writes})
		if problem.Of(err) != problem.Conflict {
			return revision, err
		}
		if err := s.Rewrite(ctx); err != nil {
			return 0, err
		}
		if s.own.revision(r) == condition.Revision {
			s.own.drop(r.ID)
			return 0, err
		}
	}
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

// answerKey returns the object key of the answer. It differs between owners, so that a former
// owner can't replace the answer of the current one. The number of takeovers in the row of the
// done draft determines which answer is valid.
func answerKey(r Record) string {
	return fmt.Sprintf("%s%s/answer/%d", objectPrefix, r.ID, r.Takeovers)
}

// Finish stores the outcome and moves the draft to done. Kind Conflict means that the draft
// belongs to another daemon or is done already, and that the outcome must be dropped.
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
	_, err = s.commitOpen(ctx, r,
		platform.Write{Key: openPrefix + r.ID, Delete: true},
		platform.Write{Key: donePrefix + r.ID, Value: value})
	if err == nil {
		s.own.finish(r, outcome.Body, s.Clock.Now())
	}
	return err
}

// Checkpoints stores the stage outputs of one draft under one owner. It implements
// run.Checkpoints.
type Checkpoints struct {
	Store  *Store
	Record *Record

	// ranStage is set when this owner has run a stage. Outputs that former owners stored for
	// later stages then belong to a different run and are ignored.
	ranStage bool
	outputs  map[int][]byte
}

// Load returns the stored output of a finished stage and whether there is one. For a
// non-idempotent stage that may have been sent and has no output, it returns an error of kind
// OutcomeUnknown.
func (c *Checkpoints) Load(ctx context.Context, stage int) ([]byte, bool, error) {
	if output, ok := c.outputs[stage]; ok {
		return output, true, nil
	}
	for takeover := c.Record.Takeovers - 1; takeover >= 0 && !c.ranStage; takeover-- {
		body, found, err := c.Store.Objects.GetObject(ctx, c.key(takeover, stage))
		if err != nil || found {
			return body, found, err
		}
	}
	if slices.Contains(c.Record.Intents, stage) {
		return nil, false, problem.New(problem.OutcomeUnknown, "stage %d may have been sent and its output is unknown", stage)
	}
	return nil, false, nil
}

// RecordIntent stores in the row of the draft that a non-idempotent stage is about to be sent.
// Kind Conflict means that the draft belongs to another daemon or is done already.
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

// Save stores the output of a finished stage in memory and, for a later owner, in the object
// store. A failure to write the object is ignored: a later owner that finds no output runs
// the stage again or, if the stage isn't idempotent, ends with kind OutcomeUnknown.
func (c *Checkpoints) Save(ctx context.Context, stage int, output []byte) error {
	c.ranStage = true
	if c.outputs == nil {
		c.outputs = map[int][]byte{}
	}
	c.outputs[stage] = output
	_ = c.Store.Objects.PutObject(ctx, c.key(c.Record.Takeovers, stage), output)
	return nil
}

// key returns the object key of a stage's output. takeover is the value of Record.Takeovers
// under the owner that ran the stage.
func (c *Checkpoints) key(takeover, stage int) string {
	return fmt.Sprintf("%s%s/stage/%d/%d", objectPrefix, c.Record.ID, takeover, stage)
}

func encode(r Record) ([]byte, error) {
	value, err := json.Marshal(r)
	if err != nil {
		return nil, problem.New(problem.Internal, "encode draft row: %v", err)
	}
	return value, nil
}

func decode(row platform.Row) (Record, error) {
	var r Record
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return r, problem.New(problem.Internal, "decode draft row: %v", err)
	}
	r.revision = row.Revision
	return r, nil
}
