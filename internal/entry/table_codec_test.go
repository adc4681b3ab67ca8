package entry

import (
	"bytes"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/sequoiapick/sequoiapick/internal/cluster/clusterpb"
	"github.com/sequoiapick/sequoiapick/internal/mirror"
	"github.com/sequoiapick/sequoiapick/platform"
)

// codecReader returns a reader whose copy has the row, if that isn't nil.
func codecReader(row *platform.Row) *tableReader {
	r := &tableReader{daemon: &Daemon{Clock: clockwork.NewFakeClockAt(time.Unix(1000, 0))}, table: platform.TableOperator}
	if row != nil {
		r.mirror.Apply(mirror.Update{Full: true, ToVersion: row.Version, Rows: []platform.Row{*row}})
	}
	return r
}

func TestDeltaNeedsItsBase(t *testing.T) {
	row := func(version int64, fill byte) platform.Row {
		return platform.Row{Table: platform.TableOperator, Key: "config", Version: version, Value: append(bytes.Repeat([]byte("0123456789"), 1000), fill)}
	}
	first, second, third := row(10, 'a'), row(20, 'b'), row(30, 'c')
	update := mirror.Update{FromVersion: 10, ToVersion: 20, Rows: []platform.Row{second}, ReadAt: time.Unix(1000, 0)}
	relative := codecReader(&first).encodeUpdate(update, map[string]platform.Row{"config": first}).GetObservedDeltas()
	whole := codecReader(&first).encodeUpdate(mirror.Update{Full: true, ToVersion: 20, Rows: []platform.Row{second}, ReadAt: time.Unix(1000, 0)}, nil).GetObservedDeltas()
	for _, c := range []struct {
		name       string
		copy       *platform.Row
		message    *clusterpb.Observed
		contiguous bool
	}{
		{"copy has the base", &first, relative, true},
		{"copy has the row already", &second, relative, true},
		{"copy has a newer row", &third, relative, true},
		{"copy has another row", &platform.Row{Table: platform.TableOperator, Key: "config", Version: 5, Value: []byte("x")}, relative, false},
		{"no copy", nil, relative, false},
		{"no copy, whole table", nil, whole, true},
	} {
		if c.message == nil {
			t.Fatalf("%s: the update has no deltas", c.name)
		}
		u, contiguous := codecReader(c.copy).decodeUpdate(c.message, time.Unix(1000, 0))
		if contiguous != c.contiguous {
			t.Errorf("%s: contiguous is %v, want %v", c.name, contiguous, c.contiguous)
		}
		if c.copy != nil && c.copy.Version >= second.Version || !contiguous {
			continue // the copy ignores the row
		}
		if len(u.Rows) != 1 || !bytes.Equal(u.Rows[0].Value, second.Value) {
			t.Errorf("%s: the decoded update differs from the encoded one", c.name)
		}
	}
}
