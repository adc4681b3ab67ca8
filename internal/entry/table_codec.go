package entry

import (
	"math"
	"time"

	"github.com/sequoiapick/sequoiapick/internal/cluster/clusterpb"
	"github.com/sequoiapick/sequoiapick/internal/delta"
	"github.com/sequoiapick/sequoiapick/internal/event"
	"github.com/sequoiapick/sequoiapick/internal/mirror"
	"github.com/sequoiapick/sequoiapick/platform"
)

// minDeltaBytes is the size from which a value is relayed as a delta. Smaller ones, such as reports
// of targets, fit into one packet anyway.
const minDeltaBytes = 2 << 10

// baseRows returns the present rows of the copy, by key, to which deltas of the new rows can be
// relative.
func (r *tableReader) baseRows(rows []platform.Row) map[string]platform.Row {
	r.mu.Lock()
	defer r.mu.Unlock()
	var bases map[string]platform.Row
	for _, row := range rows {
		if old, ok := r.mirror.Row(row.Key); ok && len(row.Value) >= minDeltaBytes {
			if bases == nil {
				bases = map[string]platform.Row{}
			}
			bases[row.Key] = old
		}
	}
	return bases
}

// encodeUpdate encodes an update for other daemons. It carries an age instead of the read time, so
// that clocks needn't agree. Large values become deltas, relative to the row of bases if there is one.
func (r *tableReader) encodeUpdate(u mirror.Update, bases map[string]platform.Row) *clusterpb.Envelope {
	m := &clusterpb.Observed{
		Table: r.table,
		Whole: u.Full,
		From:  u.FromVersion,
		To:    u.ToVersion,
		Era:   u.Era,
	}
	hasDeltas := false
	for _, row := range u.Rows {
		encoded := r.encodeRow(row, bases[row.Key])
		hasDeltas = hasDeltas || encoded.Delta != nil
		m.Rows = append(m.Rows, encoded)
	}
	m.AgeMillis = r.daemon.Clock.Since(u.ReadAt).Milliseconds()
	if hasDeltas {
		return &clusterpb.Envelope{Kind: &clusterpb.Envelope_ObservedDeltas{ObservedDeltas: m}}
	}
	return &clusterpb.Envelope{Kind: &clusterpb.Envelope_Observed{Observed: m}}
}

// encodeRow encodes one row. The zero value of base means that there is no earlier one.
func (r *tableReader) encodeRow(row, base platform.Row) *clusterpb.Row {
	encoded := &clusterpb.Row{Key: row.Key, Value: row.Value, Version: row.Version, Deleted: row.Deleted}
	if len(row.Value) < minDeltaBytes {
		return encoded
	}
	d, err := delta.Encode(row.Value, base.Value)
	if err != nil {
		r.daemon.log.Emit(event.LoopFailed, "Task", "relay "+r.table, "Reason", err.Error())
		return encoded
	}
	encoded.Value, encoded.Delta, encoded.Base = nil, d, base.Version
	return encoded
}

// decodeUpdate decodes an update that another daemon has sent at sentAfter or later. Its age counts
// from then, since it may have waited for the link; without a bound it has no read time and
// confirms nothing. Contiguous is false if a delta is relative to a row that this daemon's copy
// doesn't have; the update then has no rows. The rows of an older era are left out, since the copy
// ignores them.
func (r *tableReader) decodeUpdate(m *clusterpb.Observed, sentAfter time.Time) (u mirror.Update, contiguous bool) {
	u = mirror.Update{
		Full:        m.GetWhole(),
		FromVersion: m.GetFrom(),
		ToVersion:   m.GetTo(),
		Era:         m.GetEra(),
	}
	if age, known := decodeAge(m); known && !sentAfter.IsZero() {
		u.ReadAt = sentAfter.Add(-age)
	}
	if r.isOlderEra(u.Era) {
		return u, true
	}
	var rows []platform.Row
	for _, encoded := range m.GetRows() {
		row := platform.Row{Table: r.table, Key: encoded.GetKey(), Value: encoded.GetValue(), Version: encoded.GetVersion(), Deleted: encoded.GetDeleted()}
		if encoded.GetDelta() != nil {
			value, ok := r.decodeDelta(encoded, u.Era)
			if !ok {
				return u, false
			}
			row.Value = value
		}
		rows = append(rows, row)
	}
	u.Rows = rows
	return u, true
}

// unknownAge is the age of a copy whose time of reading isn't known, as of mirror.Mirror.Age.
const unknownAge = time.Duration(math.MaxInt64)

// decodeAge returns the age that an update had when it was sent; known is false if its sender didn't
// know that.
func decodeAge(m *clusterpb.Observed) (age time.Duration, known bool) {
	if m.GetAgeMillis() >= unknownAge.Milliseconds() {
		return 0, false
	}
	return time.Duration(m.GetAgeMillis()) * time.Millisecond, true
}

// isOlderEra reports whether the copy is of a newer era.
func (r *tableReader) isOlderEra(era int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mirror.Loaded() && era < r.mirror.Era()
}

// decodeDelta returns the value of a row of the era with a delta, and false if the copy lacks its
// base.
func (r *tableReader) decodeDelta(row *clusterpb.Row, era int64) ([]byte, bool) {
	r.mu.Lock()
	known, ok := r.mirror.Row(row.GetKey())
	ok = ok && r.mirror.Era() == era
	r.mu.Unlock()
	if ok && known.Version >= row.GetVersion() {
		return known.Value, true // the copy ignores the row
	}
	var base []byte
	if row.GetBase() > 0 {
		if !ok || known.Version != row.GetBase() {
			return nil, false
		}
		base = known.Value
	}
	value, err := delta.Decode(row.GetDelta(), base)
	if err != nil {
		r.daemon.log.Emit(event.LoopFailed, "Task", "relay "+r.table, "Reason", err.Error())
		return nil, false
	}
	return value, true
}
