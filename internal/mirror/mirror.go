// Package mirror holds this daemon's copy of a table of the platform's store. A copy has the
// version up to which it is complete and the time at which that was last confirmed.
//
// Updates come from this daemon's reads of the store and from other daemons, in any order and
// possibly more than once. An update holds either the whole table or the changes between two
// versions. Changes that begin after the version of the copy would leave a gap and are
// rejected; the caller then requests the whole table.
//
// The store may be restored from an older copy, which begins a new era: versions go back and are given
// out again. Versions are compared within an era only. An update of an older era is ignored; one of a
// newer era replaces the copy if it holds the whole table, and is rejected otherwise.
//
// # Usage
//
//	var m mirror.Mirror
//	changes, contiguous := m.Apply(mirror.Update{Full: true, ToVersion: 530, Rows: rows, ReadAt: at})
//	if m.Age(now) > maxAge { ... } // read again
package mirror

import (
	"bytes"
	"sort"
	"time"

	"github.com/sequoiapick/sequoiapick/platform"
)

// Update is the result of one read of the table.
type Update struct {
	// Full means that Rows holds the whole table; otherwise it holds the rows that changed after
	// FromVersion.
	Full        bool
	FromVersion int64
	// Era is that of the versions, see platform.Rows.
	Era int64
	// ToVersion is the version up to which the update is complete.
	ToVersion int64
	Rows      []platform.Row
	// ReadAt is when the read was started.
	ReadAt time.Time
}

// Mirror is a copy of one table. The zero value is an empty copy that isn't loaded. It is not
// safe for concurrent use.
type Mirror struct {
	rows    map[string]platform.Row
	era     int64
	version int64
	loaded  bool
	readAt  time.Time
}

// Loaded reports whether the copy has ever been complete.
func (m *Mirror) Loaded() bool { return m.loaded }

// Version returns the version up to which the copy is complete.
func (m *Mirror) Version() int64 { return m.version }

// Era returns the era of the copy.
func (m *Mirror) Era() int64 { return m.era }

// ReadAt returns when the copy was last confirmed to be complete, zero if that isn't known.
func (m *Mirror) ReadAt() time.Time { return m.readAt }

// Age returns the time since the copy was last confirmed to be complete, the longest Duration if that
// isn't known.
func (m *Mirror) Age(now time.Time) time.Duration { return now.Sub(m.readAt) }

// Apply applies an update and returns the rows that changed in the copy; removed rows are marked
// as deleted. Contiguous is false if the update would leave a gap after the version of the copy, or
// holds the changes of a newer era; the copy is then unchanged.
func (m *Mirror) Apply(u Update) (changes []platform.Row, contiguous bool) {
	switch {
	case m.loaded && u.Era < m.era:
		return nil, true
	case m.loaded && u.Era > m.era && u.Full:
		return m.replace(u), true
	case m.loaded && u.Era > m.era:
		return nil, false
	}
	if !u.Full && (!m.loaded || u.FromVersion > m.version) {
		return nil, false
	}
	if u.Full && m.loaded && u.ToVersion < m.version {
		return nil, true // the copy is newer than this read
	}
	if m.rows == nil {
		m.rows = map[string]platform.Row{}
	}
	if u.ReadAt.After(m.readAt) && u.ToVersion >= m.version {
		m.readAt = u.ReadAt
	}
	listed := map[string]bool{}
	for _, r := range u.Rows {
		listed[r.Key] = true
		if m.putRow(r, u.Full) {
			changes = append(changes, r)
		}
	}
	if u.Full {
		changes = append(changes, m.removeUnlisted(listed, u.ToVersion)...)
	}
	m.era = u.Era
	m.version = max(m.version, u.ToVersion)
	m.loaded = true
	return changes, true
}

// replace replaces the copy by the whole table of a newer era, and returns the rows whose values
// differ.
func (m *Mirror) replace(u Update) (changes []platform.Row) {
	old := m.rows
	m.rows = make(map[string]platform.Row, len(u.Rows))
	for _, r := range u.Rows {
		m.rows[r.Key] = r
		if known, ok := old[r.Key]; !ok || !bytes.Equal(known.Value, r.Value) {
			changes = append(changes, r)
		}
	}
	for key, r := range old {
		if _, listed := m.rows[key]; !listed {
			changes = append(changes, platform.Row{Table: r.Table, Key: key, Version: u.ToVersion, Deleted: true})
		}
	}
	m.era, m.version, m.readAt = u.Era, u.ToVersion, u.ReadAt
	return changes
}

// putRow stores one row of an update, or deletes it, unless the copy has the same or a newer
// version of it. It reports whether the copy changed. Full is that of the update.
func (m *Mirror) putRow(r platform.Row, full bool) bool {
	old, known := m.rows[r.Key]
	if known && old.Version >= r.Version {
		return false
	}
	if !full && r.Version <= m.version {
		return false // the copy is complete up to a later version
	}
	if r.Deleted {
		delete(m.rows, r.Key)
		return known
	}
	m.rows[r.Key] = r
	return true
}

// removeUnlisted removes the rows that a full update doesn't list, and returns them as deleted.
func (m *Mirror) removeUnlisted(listed map[string]bool, version int64) []platform.Row {
	var removed []platform.Row
	for key, r := range m.rows {
		if !listed[key] {
			delete(m.rows, key)
			removed = append(removed, platform.Row{Table: r.Table, Key: key, Version: version, Deleted: true})
		}
	}
	return removed
}

// Row returns the row with the key, and false if the copy has none.
func (m *Mirror) Row(key string) (platform.Row, bool) {
	row, ok := m.rows[key]
	return row, ok
}

// Rows returns all rows of the copy, sorted by key.
func (m *Mirror) Rows() []platform.Row {
	rows := make([]platform.Row, 0, len(m.rows))
	for _, r := range m.rows {
		rows = append(rows, r)
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows
}
