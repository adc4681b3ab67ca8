package entry

import (
	"github.com/sequoiapick/sequoiapick/platform"
)

// relay leaves out what needn't be passed on: targets report every second or so, and
// mostly nothing but the sequence of the report has changed. Passed on to every daemon,
// the reports of all targets would grow with the square of the fleet.
type relay struct {
	passed map[string]platform.TargetReport
}

// news returns the rows that say something new, and counts them as passed on.
func (r *relay) news(rows []platform.Row) []platform.Row {
	if r.passed == nil {
		r.passed = map[string]platform.TargetReport{}
	}
	var news []platform.Row
	for _, row := range rows {
		report, err := platform.DecodeTarget(row)
		if row.Deleted || err != nil { // a row that names no target is for the receiver to judge
			delete(r.passed, row.Key)
			news = append(news, row)
			continue
		}
		report.Sequence = 0
		if old, known := r.passed[row.Key]; known && old == report {
			continue
		}
		r.passed[row.Key] = report
		news = append(news, row)
	}
	return news
}
