// Package mirror holds this daemon's copy of a table of the platform's store, and knows
// up to which version the copy is complete and when that was last confirmed.
//
// Copies are fed by own reads and by what other daemons pass on, in any order and more
// than once: an observation covers the changes between two versions, and one that doesn't
// join the copy is refused, so that the whole table is asked for.
//
// # Usage
//
//	var m mirror.Mirror
//	changes, joined := m.Apply(mirror.Observation{Whole: true, To: 530, Rows: rows, ReadAt: at})
//	if m.Age(now) > patience { ... } // read again
package mirror

import (
	"sort"
	"time"

	"github.com/sequoiapick/sequoiapick/platform"
)

// Update is what one read of the table returned.
type Update struct {
	// Full says that rows that are missing don't exist; otherwise the rows are those that
	// changed after version From.
	Full        bool
	FromVersion int64
	// ToVersion is the version up to which the observation is complete.
	ToVersion int64
	Rows      []platform.Row
	// ReadAt is when the read began.
	ReadAt time.Time
}

// Mirror is a copy of one table; the zero value is empty.
type Mirror struct {
	rows    map[string]platform.Row
	version int64
	loaded  bool
	readAt  time.Time
}

// Loaded reports whether the copy was ever complete.
func (m *Mirror) Loaded() bool { return m.loaded }

// Version is the version up to which the copy is complete.
func (m *Mirror) Version() int64 { return m.version }

// Age is the time since the copy was last confirmed to be complete.
func (m *Mirror) Age(now time.Time) time.Duration { return now.Sub(m.readAt) }

// Apply takes an observation and returns the rows that changed, removed ones marked as
// deleted. It reports false, and changes nothing, if the observation doesn't join the
// copy.
func (m *Mirror) Apply(o Update) (changes []platform.Row, joined bool) {
	if !o.Full && (!m.loaded || o.FromVersion > m.version) {
		return nil, false
	}
	if o.Full && m.loaded && o.ToVersion < m.version {
		return nil, true // an older reading says nothing new
	}
	if m.rows == nil {
		m.rows = map[string]platform.Row{}
	}
	if o.ReadAt.After(m.readAt) {
		m.readAt = o.ReadAt
	}
	listed := map[string]bool{}
	for _, r := range o.Rows {
		listed[r.Key] = true
		if m.take(r, o.Full) {
			changes = append(changes, r)
		}
	}
	if o.Full {
		changes = append(changes, m.dropOthers(listed, o.ToVersion)...)
	}
	m.version = max(m.version, o.ToVersion)
	m.loaded = true
	return changes, true
}

// take takes one row unless the copy has a newer one.
func (m *Mirror) take(r platform.Row, whole bool) bool {
	old, known := m.rows[r.Key]
	if known && old.Version >= r.Version {
		return false
	}
	if !whole && r.Version <= m.version {
		return false // the copy is complete beyond this change
	}
	if r.Deleted {
		delete(m.rows, r.Key)
		return known
	}
	m.rows[r.Key] = r
	return true
}

func (m *Mirror) dropOthers(listed map[string]bool, version int64) []platform.Row {
	var dropped []platform.Row
	for key, r := range m.rows {
		if !listed[key] {
			delete(m.rows, key)
			dropped = append(dropped, platform.Row{Table: r.Table, Key: key, Version: version, Deleted: true})
		}
	}
	return dropped
}

// Rows returns the copy as a whole, by key.
func (m *Mirror) Rows() []platform.Row {
	rows := make([]platform.Row, 0, len(m.rows))
	for _, r := range m.rows {
		rows = append(rows, r)
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows
}
