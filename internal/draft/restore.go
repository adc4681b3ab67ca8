package draft

import (
	"context"
	"sync"
	"time"

	"github.com/sequoiapick/sequoiapick/internal/platform"
	"github.com/sequoiapick/sequoiapick/pkg/problem"
)

// doneRetention is how long a finished draft is kept in memory. The table may come back from a copy that
// is some seconds old, which lacks the draft or lists it as open.
const doneRetention = time.Minute

// ownDrafts holds the drafts of this daemon that the table may lose: open ones, and those that were
// finished within doneRetention.
type ownDrafts struct {
	mu     sync.Mutex
	drafts map[string]*ownDraft
	// era is that of the table in which the rows are known to exist, if known is set.
	era   uint64
	known bool
}

// ownDraft is one draft of this daemon.
type ownDraft struct {
	record Record
	// input is the object of an open draft, answer that of one with an answer.
	input  []byte
	answer []byte
	// claim holds the write of the caller's key, if there is one.
	claim []platform.Write
	// finished is when the outcome was stored, zero for an open draft.
	finished time.Time
}

// keep stores a draft that this daemon has accepted or taken over. A draft that is kept already keeps
// the claim.
func (o *ownDrafts) keep(r Record, input []byte, claim []platform.Write) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.drafts == nil {
		o.drafts = map[string]*ownDraft{}
	}
	o.drafts[r.ID] = &ownDraft{record: r, input: input, claim: claim}
}

// update replaces the record of a kept draft.
func (o *ownDrafts) update(r Record) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if d := o.drafts[r.ID]; d != nil {
		d.record = r
	}
}

// finish records the outcome of a kept draft and drops those that were finished long ago.
func (o *ownDrafts) finish(r Record, answer []byte, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for id, d := range o.drafts {
		if !d.finished.IsZero() && now.Sub(d.finished) > doneRetention {
			delete(o.drafts, id)
		}
	}
	if d := o.drafts[r.ID]; d != nil {
		d.record, d.answer, d.finished, d.input = r, answer, now, nil
	}
}

// drop removes a draft that belongs to another daemon.
func (o *ownDrafts) drop(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.drafts, id)
}

// revision returns the revision of the row of an open draft, which Rewrite may have changed.
func (o *ownDrafts) revision(r Record) uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	if d := o.drafts[r.ID]; d != nil {
		return d.record.revision
	}
	return r.revision
}

// due returns copies of the kept drafts if the table was restored since their rows were written, and
// its era.
func (o *ownDrafts) due(table platform.Table) (list []ownDraft, era uint64) {
	era, known := table.Era()
	o.mu.Lock()
	defer o.mu.Unlock()
	if known && !o.known {
		o.era, o.known = era, true
	}
	if !known || era <= o.era {
		return nil, o.era
	}
	for _, d := range o.drafts {
		list = append(list, *d)
	}
	return list, era
}

// rewritten records that the rows exist in the era.
func (o *ownDrafts) rewritten(era uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.era = max(o.era, era)
}

// Rewrite writes the drafts of this daemon again if the table was restored from an older copy since they
// were written. A draft that another daemon has taken over since is left to that.
func (s *Store) Rewrite(ctx context.Context) error {
	list, era := s.own.due(s.Table)
	for _, d := range list {
		if err := s.rewrite(ctx, d); err != nil && problem.Of(err) != problem.Conflict {
			return err
		}
	}
	s.own.rewritten(era)
	return nil
}

// rewrite writes the objects and the row of one draft, and the claim of its key if the table has none.
func (s *Store) rewrite(ctx context.Context, d ownDraft) error {
	r := d.record
	stored, done, found, err := s.Read(ctx, r.ID)
	if err != nil || done || found && stored.Takeovers > r.Takeovers {
		return err
	}
	open := platform.Condition{Key: openPrefix + r.ID}
	if found {
		open.Revision = stored.revision
	}
	value, err := encode(r)
	if err != nil {
		return err
	}
	tx := platform.Transaction{Conditions: []platform.Condition{open, {Key: donePrefix + r.ID}}}
	if d.finished.IsZero() {
		err = s.Objects.PutObject(ctx, objectPrefix+r.ID+"/input", d.input)
		tx.Writes = []platform.Write{{Key: openPrefix + r.ID, Value: value}}
	} else {
		err = s.Objects.PutObject(ctx, answerKey(r), d.answer)
		tx.Writes = []platform.Write{{Key: openPrefix + r.ID, Delete: true}, {Key: donePrefix + r.ID, Value: value}}
	}
	if err != nil {
		return err
	}
	revision, err := s.Table.Commit(ctx, tx)
	if err != nil {
		return err
	}
	if d.finished.IsZero() {
		r.revision = revision
		s.own.update(r)
	}
	for _, w := range d.claim {
		_, err := s.Table.Commit(ctx, platform.Transaction{Conditions: []platform.Condition{{Key: w.Key}}, Writes: []platform.Write{w}})
		if err != nil && problem.Of(err) != problem.Conflict {
			return err
		}
	}
	return nil
}
