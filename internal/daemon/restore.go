package daemon

import (
	"slices"

	"github.com/sequoiapick/sequoiapick/internal/membership"
)

// maxLeft is the number of incarnations that left the view of this data centre that are remembered.
const maxLeft = 1024

// recordLeft records the members of the known view that the next one lacks; the caller holds mu.
func (d *Daemon) recordLeft(next membership.View) {
	for _, m := range d.views[next.DataCentre].Members {
		if _, ok := next.Member(m.Incarnation); !ok {
			d.left = append(d.left, m.Incarnation)
		}
	}
	d.left = d.left[max(len(d.left)-maxLeft, 0):]
}

// isNewEra reports whether the table was restored since the view of this data centre was read or
// written.
func (d *Daemon) isNewEra(era uint64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.viewEraKnown && era > d.viewEra
}

// setViewEra records the era in which the view of this data centre was read or written.
func (d *Daemon) setViewEra(era uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.viewEra, d.viewEraKnown = max(d.viewEra, era), true
}

// restoredView returns the view to write after a restore of the table.
func (d *Daemon) restoredView(stored membership.View) membership.View {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.views[stored.DataCentre].Restored(stored, func(incarnation string) bool { return slices.Contains(d.left, incarnation) })
}
