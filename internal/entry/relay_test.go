package entry

import (
	"fmt"
	"testing"

	"github.com/sequoiapick/sequoiapick/platform"
)

func targetRow(key, state string, sequence, cold int) platform.Row {
	value := fmt.Sprintf(`{"service":"desk","address":"10.0.0.1:80","zone":"a","version":"v1","slots":6,"state":%q,"coldRemainingMs":%d,"seq":%d,"born":1}`, state, cold, sequence)
	return platform.Row{Table: platform.TableTargets, Key: key, Value: []byte(value), Version: int64(sequence)}
}

func TestRelayPassesOnWhatIsNew(t *testing.T) {
	var r relay
	steps := []struct {
		what string
		row  platform.Row
		news int
	}{
		{"a first report", targetRow("i-1", "ready", 1, 0), 1},
		{"the same with a later sequence", targetRow("i-1", "ready", 2, 0), 0},
		{"another target", targetRow("i-2", "ready", 1, 0), 1},
		{"a target that leaves", targetRow("i-1", "draining", 3, 0), 1},
		{"it still leaves", targetRow("i-1", "draining", 4, 0), 0},
		{"a target that is cold", targetRow("i-2", "ready", 2, 900), 1},
		{"it is warm", targetRow("i-2", "ready", 3, 0), 1},
		{"a removal", platform.Row{Key: "i-2", Deleted: true}, 1},
		{"the target again", targetRow("i-2", "ready", 4, 0), 1},
		{"bytes that can't be read", platform.Row{Key: "i-2", Value: []byte("{")}, 1},
		{"the target again", targetRow("i-2", "ready", 5, 0), 1},
	}
	for _, step := range steps {
		if got := r.news([]platform.Row{step.row}); len(got) != step.news {
			t.Errorf("%s: %d rows are passed on, want %d", step.what, len(got), step.news)
		}
	}
}
