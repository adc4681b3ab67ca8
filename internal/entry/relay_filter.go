package entry

import (
	"github.com/sequoiapick/sequoiapick/platform"
)

// relayFilter removes rows of the targets table that needn't be relayed to the other daemons.
// Targets report about once a second, and most reports differ from the previous one in their
// sequence number only. If all of them were relayed to every daemon, the traffic would grow
// with the product of the numbers of targets and daemons.
type relayFilter struct {
	// relayed is the last relayed report of each target, without its sequence number.
	relayed map[string]platform.TargetReport
}

// apply returns the rows that differ from the last relayed ones in more than the sequence
// number, and records them as relayed.
func (f *relayFilter) apply(rows []platform.Row) []platform.Row {
	if f.relayed == nil {
		f.relayed = map[string]platform.TargetReport{}
	}
	var changed []platform.Row
	for _, row := range rows {
		report, err := platform.DecodeTarget(row)
		if row.Deleted || err != nil { // the receiver handles and logs a malformed row itself
			delete(f.relayed, row.Key)
			changed = append(changed, row)
			continue
		}
		report.Sequence = 0
		if old, known := f.relayed[row.Key]; known && old == report {
			continue
		}
		f.relayed[row.Key] = report
		changed = append(changed, row)
	}
	return changed
}
