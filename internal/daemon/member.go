package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"strings"
	"time"

	"github.com/sequoiapick/sequoiapick/internal/event"
	"github.com/sequoiapick/sequoiapick/internal/link"
	"github.com/sequoiapick/sequoiapick/internal/membership"
	"github.com/sequoiapick/sequoiapick/internal/peer/peerpb"
	"github.com/sequoiapick/sequoiapick/internal/platform"
	"github.com/sequoiapick/sequoiapick/pkg/problem"
)

// Keys of the platform's table.
const (
	memberPrefix = "member/"
	epochPrefix  = "epoch/"
)

// Timings of the membership tasks.
const (
	adoptionInterval = 200 * time.Millisecond
	sweepInterval    = 10 * time.Second
	pauseTick        = 250 * time.Millisecond
	// pauseLimit is the gap between two ticks from which the process counts as paused.
	pauseLimit = time.Second
)

// How the reads of the platform's table are shared.
const (
	// pollers is the number of daemons of a data centre that poll often, sweep members
	// and look after drafts.
	pollers = 2
	// standbyEvery is the number of intervals between the polls of those behind the first.
	standbyEvery = 3
	// backupEvery is the number of intervals between the polls of the others.
	backupEvery = 10
	// maxDataCentres bounds the views read in one scan.
	maxDataCentres = 100
	// reportsAtOnce is the number of targets whose reports a daemon reads at each interval.
	reportsAtOnce = 8
	joinTries     = 5
	// pollTerm is the time for which the same daemons poll.
	pollTerm = 30 * time.Second
)

// adoptedState is what this daemon has told the members of its epoch.
type adoptedState struct {
	epoch uint64
	busy  map[string]int
	told  map[string]bool
	turn  int
}

// pollInTurn polls if it is this daemon's turn.
func (d *Daemon) pollInTurn(ctx context.Context) error {
	d.adopted.turn++
	if d.adopted.turn%d.pollTurns() != 0 {
		return nil
	}
	d.poll(ctx)
	return nil
}

// poller reports whether this daemon is among those that poll for its data centre; one
// that isn't a member yet polls in order to join.
func (d *Daemon) poller() bool {
	view := d.fleet.View()
	if _, ok := view.Member(d.incarnation); !ok {
		return true
	}
	return d.pollRank(view) < pollers
}

// pollRank is this daemon's place among the members of its data centre. It changes from
// term to term, so that all share the cost.
func (d *Daemon) pollRank(view membership.View) int {
	term := d.Clock.Now().Unix() / int64(pollTerm/time.Second)
	for i, m := range view.Ranked(fmt.Sprint("poller ", term)) {
		if m.Incarnation == d.incarnation {
			return i
		}
	}
	return pollers
}

// pollTurns returns the number of intervals between this daemon's polls: the first
// poller reads at each, the others stand by.
func (d *Daemon) pollTurns() int {
	view := d.fleet.View()
	if _, ok := view.Member(d.incarnation); !ok || !d.registry.Loaded() {
		return 1
	}
	switch rank := d.pollRank(view); {
	case rank == 0:
		return 1
	case rank < pollers:
		return standbyEvery
	default:
		return backupEvery
	}
}

// poll reads the configuration, the memberships and the host list.
func (d *Daemon) poll(ctx context.Context) {
	for _, read := range []struct {
		name string
		call func(context.Context) error
	}{
		{"configuration", d.registry.Sync},
		{"membership", d.readViews},
		{"hosts", d.readHosts},
	} {
		if err := read.call(ctx); err != nil {
			d.log.Emit(event.LoopFailed, "Task", read.name, "Reason", err.Error())
		}
	}
}

// readViews adopts the memberships whose epochs have risen, and joins the own one.
func (d *Daemon) readViews(ctx context.Context) error {
	rows, err := d.platform.Scan(ctx, epochPrefix, "", maxDataCentres)
	if err != nil {
		return err
	}
	known := d.allViews()
	for _, row := range rows {
		var epoch uint64
		if err := json.Unmarshal(row.Value, &epoch); err != nil {
			return problem.New(problem.Internal, "epoch row: %v", err)
		}
		name := strings.TrimPrefix(row.Key, epochPrefix)
		if epoch <= known[name].Epoch {
			continue
		}
		view, _, err := d.readView(ctx, name)
		if err != nil {
			return err
		}
		d.adopt(view)
	}
	if _, ok := d.fleet.View().Member(d.incarnation); ok || d.stopping.Load() {
		return nil
	}
	return d.changeView(ctx, func(view membership.View) (membership.View, bool) {
		return view.Join(d.me())
	})
}

// readView reads the membership of one data centre and the revision of its row.
func (d *Daemon) readView(ctx context.Context, dataCentre string) (membership.View, uint64, error) {
	view := membership.View{DataCentre: dataCentre}
	row, found, err := d.platform.Get(ctx, memberPrefix+dataCentre)
	if err != nil || !found {
		return view, 0, err
	}
	if err := json.Unmarshal(row.Value, &view); err != nil {
		return view, 0, problem.New(problem.Internal, "membership row: %v", err)
	}
	return view, row.Revision, nil
}

// changeView changes the own data centre's row; every writer reads it anew.
func (d *Daemon) changeView(ctx context.Context, change func(membership.View) (membership.View, bool)) error {
	for range joinTries {
		view, revision, err := d.readView(ctx, d.Settings.DataCentre)
		if err != nil {
			return err
		}
		d.adopt(view)
		next, changed := change(view)
		if !changed {
			return nil
		}
		err = d.writeView(ctx, next, revision)
		if err == nil {
			d.adopt(next)
			return nil
		}
		if problem.Of(err) != problem.Conflict {
			return err
		}
	}
	return problem.New(problem.Conflict, "membership changed too often")
}

// writeView writes the view and, for cheap polling, its epoch in a row of its own.
func (d *Daemon) writeView(ctx context.Context, view membership.View, revision uint64) error {
	value, err := json.Marshal(view)
	if err != nil {
		return problem.New(problem.Internal, "encode membership: %v", err)
	}
	epoch, err := json.Marshal(view.Epoch)
	if err != nil {
		return problem.New(problem.Internal, "encode epoch: %v", err)
	}
	_, err = d.platform.Commit(ctx, platform.Transaction{
		Conditions: []platform.Condition{{Key: memberPrefix + view.DataCentre, Revision: revision}},
		Writes: []platform.Write{
			{Key: memberPrefix + view.DataCentre, Value: value},
			{Key: epochPrefix + view.DataCentre, Value: epoch},
		},
	})
	return err
}

// adopt acts on a view if it is newer.
func (d *Daemon) adopt(view membership.View) {
	d.mu.Lock()
	newer := view.Epoch > d.views[view.DataCentre].Epoch
	if newer {
		d.views[view.DataCentre] = view
	}
	d.mu.Unlock()
	if !newer {
		return
	}
	if view.DataCentre == d.Settings.DataCentre {
		d.fleet.Adopt(d.incarnation, view)
		d.log.Emit(event.MembershipAdopted, "Epoch", view.Epoch, "Members", len(view.Members))
	}
	d.changed()
}

// readHosts learns who is leaving and removes members whose hosts are gone.
func (d *Daemon) readHosts(ctx context.Context) error {
	hosts, err := d.platform.ListHosts(ctx, d.Settings.DataCentre)
	if err != nil {
		return err
	}
	leaving := map[string]bool{}
	listed := map[string]bool{}
	for _, h := range hosts {
		listed[h.Name] = true
		leaving[h.Name] = h.State == platform.Leaving
	}
	d.listTargets(leaving)
	if !d.poller() {
		return nil
	}
	return d.changeView(ctx, func(view membership.View) (membership.View, bool) {
		swept, changed := view.RemoveUnlisted(listed)
		if changed {
			d.log.Emit(event.MemberSwept, "Epoch", swept.Epoch, "Members", len(swept.Members))
		}
		marked, listedAnew := swept.MarkListed(listed)
		return marked, changed || listedAnew
	})
}

// listTargets takes in which targets' hosts are leaving, and tells the daemons that
// don't read the list themselves.
func (d *Daemon) listTargets(leaving map[string]bool) {
	for _, contract := range d.registry.Document().Targets {
		isLeaving := contract.Host != "" && leaving[contract.Host]
		if !d.fleet.SetHostLeaving(contract.Name, isLeaving) {
			continue
		}
		d.log.Emit(event.TargetLeaving, "Target", contract.Name, "Leaving", isLeaving, "Source", "host list")
		d.spreadNotice(&peerpb.Notice{Target: contract.Name, Leaving: isLeaving, Listed: true})
	}
}

// announceAdoption tells every member of this data centre the adopted epoch and what
// is in flight to targets that others guard, until each has heard the newest.
func (d *Daemon) announceAdoption(ctx context.Context) error {
	view, busy := d.fleet.Adoption()
	if d.adopted.epoch != view.Epoch || !maps.Equal(d.adopted.busy, busy) {
		d.adopted.epoch = view.Epoch
		d.adopted.busy = busy
		d.adopted.told = map[string]bool{}
	}
	call := &peerpb.Call{Kind: &peerpb.Call_Adopted{Adopted: &peerpb.Adopted{
		DataCentre:  view.DataCentre,
		Host:        d.Settings.Host,
		Incarnation: d.incarnation,
		Epoch:       d.adopted.epoch,
		Busy:        counts(d.adopted.busy),
	}}}
	type told struct {
		incarnation string
		err         error
	}
	pending := 0
	results := make(chan told, len(view.Members))
	for _, m := range view.Members {
		if m.Incarnation == d.incarnation || d.adopted.told[m.Incarnation] {
			continue
		}
		pending++
		go func() {
			callCtx, cancel := context.WithTimeout(ctx, backgroundLimit)
			defer cancel()
			_, err := d.peers.Call(callCtx, m.PeerAddress, call)
			results <- told{m.Incarnation, err}
		}()
	}
	for range pending {
		if r := <-results; r.err == nil {
			d.adopted.told[r.incarnation] = true
		}
	}
	return nil
}

func counts(busy map[string]int) map[string]int64 {
	converted := make(map[string]int64, len(busy))
	for name, n := range busy {
		converted[name] = int64(n)
	}
	return converted
}

// readReports asks a few of this data centre's targets in turn for their reports. Load
// and warmth mostly ride on answers; this is for targets that answer little.
func (d *Daemon) readReports(context.Context) error {
	for _, contract := range d.fleet.NextLocalTargets(d.registry.Document(), reportsAtOnce) {
		d.background(func(ctx context.Context) {
			conn, err := d.links.FetchReport(ctx, contract)
			if err != nil {
				return
			}
			d.seen(contract.Name, conn)
		})
	}
	return nil
}

func (d *Daemon) seen(name string, conn *link.Conn) {
	seen := d.fleet.Observe(name, conn.Report)
	if seen.BecameCold {
		d.log.Emit(event.TargetCold, "Target", name, "Incarnation", seen.Incarnation)
	}
	if seen.BecameLeaving {
		d.log.Emit(event.TargetLeaving, "Target", name, "Incarnation", seen.Incarnation)
	}
	if seen.BecameCold || seen.BecameLeaving {
		d.BroadcastObservation(name, seen)
	}
	d.links.Put(conn)
}

func (d *Daemon) sweep(context.Context) error {
	d.claims.Sweep()
	d.forgetHeirs()
	return nil
}

// watchPauses notices that the process was paused and then reads the memberships at once.
func (d *Daemon) watchPauses(ctx context.Context) error {
	last := d.Clock.Now()
	return d.every(pauseTick, "pause", func(ctx context.Context) error {
		gap := d.Clock.Since(last)
		last = d.Clock.Now()
		if gap < pauseLimit {
			return nil
		}
		d.log.Emit(event.PauseDetected, "Gap", gap.String())
		d.poll(ctx)
		return nil
	})(ctx)
}
