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

func TestRelayFilterRemovesReportsWithNewSequenceOnly(t *testing.T) {
	var f relayFilter
	steps := []struct {
		name string
		row  platform.Row
		want int
	}{
		{"first report", targetRow("i-1", "ready", 1, 0), 1},
		{"same report with a later sequence", targetRow("i-1", "ready", 2, 0), 0},
		{"report of another target", targetRow("i-2", "ready", 1, 0), 1},
		{"target starts draining", targetRow("i-1", "draining", 3, 0), 1},
		{"target still draining", targetRow("i-1", "draining", 4, 0), 0},
		{"target becomes cold", targetRow("i-2", "ready", 2, 900), 1},
		{"target becomes warm", targetRow("i-2", "ready", 3, 0), 1},
		{"removed row", platform.Row{Key: "i-2", Deleted: true}, 1},
		{"target after its removal", targetRow("i-2", "ready", 4, 0), 1},
		{"malformed row", platform.Row{Key: "i-2", Value: []byte("{")}, 1},
		{"target after a malformed row", targetRow("i-2", "ready", 5, 0), 1},
	}
	for _, step := range steps {
		if got := f.apply([]platform.Row{step.row}); len(got) != step.want {
			t.Errorf("%s: %d rows are relayed, want %d", step.name, len(got), step.want)
		}
	}
}
