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
	// adoptionInterval is the time between two reports to members that lack the newest
	// adoption.
	adoptionInterval = 200 * time.Millisecond
	// expiryInterval is the time between two calls of expireEntries.
	expiryInterval = 10 * time.Second
	// claimCheckInterval is the time between two checks for a restore of the platform's table, after
	// which the claims and drafts of this daemon are written again.
	claimCheckInterval = 250 * time.Millisecond
	// pauseCheckInterval is the time between two checks of detectPauses.
	pauseCheckInterval = 250 * time.Millisecond
	// pauseThreshold is the time between two pause checks from which the process counts as
	// paused.
	pauseThreshold = time.Second
)

// Bounds that spread the reads of the platform's table over the daemons.
const (
	// pollerCount is the number of daemons of a data centre that poll often, remove unlisted
	// members and recover drafts.
	pollerCount = 2
	// standbyPollIntervals is the number of poll intervals between two polls of the pollers
	// after the first.
	standbyPollIntervals = 3
	// backupPollIntervals is the number of poll intervals between two polls of the other
	// daemons.
	backupPollIntervals = 10
	// maxDataCentres is the maximum number of epochs read by one scan.
	maxDataCentres = 100
	// reportsPerInterval is the number of targets whose reports a daemon requests at each
	// report interval.
	reportsPerInterval = 8
	// maxViewWriteAttempts is the maximum number of attempts to write one change of a view.
	maxViewWriteAttempts = 5
	// pollTerm is the time after which the role of the pollers moves to other daemons.
	pollTerm = 30 * time.Second
)

// announcedState is the adoption that this daemon reports to the other members.
type announcedState struct {
	epoch uint64
	// inFlight counts, by target, the requests in flight to cold targets whose guardian this
	// daemon no longer is.
	inFlight map[string]int
	// acknowledged holds the incarnations that have received the report.
	acknowledged map[string]bool
	// pollTick counts the poll intervals since the start.
	pollTick int
}

// pollInTurn polls at every intervalsPerPoll calls.
func (d *Daemon) pollInTurn(ctx context.Context) error {
	d.announced.pollTick++
	if d.announced.pollTick%d.intervalsPerPoll() != 0 {
		return nil
	}
	d.poll(ctx)
	return nil
}

// isPoller reports whether this daemon is one of the pollers of its data centre. A daemon
// that isn't a member yet counts as one, since it must poll in order to join.
func (d *Daemon) isPoller() bool {
	view := d.fleet.View()
	if _, ok := view.Member(d.incarnation); !ok {
		return true
	}
	return d.pollRank(view) < pollerCount
}

// pollRank returns this daemon's rank among the members of its data centre, from 0. The
// ranks change with each pollTerm, so that all members share the cost of polling.
func (d *Daemon) pollRank(view membership.View) int {
	term := d.Clock.Now().Unix() / int64(pollTerm/time.Second)
	for i, m := range view.Ranked(fmt.Sprint("poller ", term)) {
		if m.Incarnation == d.incarnation {
			return i
		}
	}
	return pollerCount
}

// intervalsPerPoll returns the number of poll intervals between two polls of this daemon.
// The first poller, and a daemon that isn't a member or has no configuration yet, polls at
// every interval.
func (d *Daemon) intervalsPerPoll() int {
	view := d.fleet.View()
	if _, ok := view.Member(d.incarnation); !ok || !d.registry.Loaded() {
		return 1
	}
	switch rank := d.pollRank(view); {
	case rank == 0:
		return 1
	case rank < pollerCount:
		return standbyPollIntervals
	default:
		return backupPollIntervals
	}
}

// poll reads the configuration, the membership views and the host list. Failures are logged.
func (d *Daemon) poll(ctx context.Context) {
	for _, read := range []struct {
		name string
		call func(context.Context) error
	}{
		{"configuration", d.registry.Sync},
		{"membership", d.syncViews},
		{"hosts", d.syncHosts},
	} {
		if err := read.call(ctx); err != nil {
			d.log.Emit(event.LoopFailed, "Task", read.name, "Reason", err.Error())
		}
	}
}

// syncViews adopts the views whose epochs have increased, and joins the view of this data
// centre if this daemon isn't a member and isn't stopping.
func (d *Daemon) syncViews(ctx context.Context) error {
	rows, err := d.platform.Scan(ctx, epochPrefix, "", maxDataCentres)
	if err != nil {
		return err
	}
	known := d.allViews()
	// restored is set if the table may list another view of this data centre than before, or none.
	restored := known[d.Settings.DataCentre].Epoch > 0
	for _, row := range rows {
		var epoch uint64
		if err := json.Unmarshal(row.Value, &epoch); err != nil {
			return problem.New(problem.Internal, "epoch row: %v", err)
		}
		name := strings.TrimPrefix(row.Key, epochPrefix)
		if name == d.Settings.DataCentre {
			if restored = d.isNewEra(row.Era); restored {
				continue
			}
		}
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
		if !restored {
			return nil
		}
		return d.changeView(ctx, func(view membership.View) (membership.View, bool) { return view, false })
	}
	return d.changeView(ctx, func(view membership.View) (membership.View, bool) {
		return view.Join(d.selfMember())
	})
}

// readView reads the view of one data centre and its row. The view is empty, and the row has no
// revision, if there is none.
func (d *Daemon) readView(ctx context.Context, dataCentre string) (membership.View, platform.Row, error) {
	view := membership.View{DataCentre: dataCentre}
	row, found, err := d.platform.Get(ctx, memberPrefix+dataCentre)
	if err != nil || !found {
		return view, row, err
	}
	if err := json.Unmarshal(row.Value, &view); err != nil {
		return view, row, problem.New(problem.Internal, "membership row: %v", err)
	}
	return view, row, nil
}

// changeView applies a change to the view of this data centre and writes it. If another
// daemon writes first, it reads the row and applies the change again. After a restore of the table it
// writes the newest known view, changed or not.
func (d *Daemon) changeView(ctx context.Context, change func(membership.View) (membership.View, bool)) error {
	for range maxViewWriteAttempts {
		view, row, err := d.readView(ctx, d.Settings.DataCentre)
		if err != nil {
			return err
		}
		restored := d.isNewEra(row.Era)
		if restored {
			view = d.restoredView(view)
		} else {
			d.adopt(view)
		}
		next, changed := change(view)
		if !changed && !restored {
			d.setViewEra(row.Era)
			return nil
		}
		err = d.writeView(ctx, next, row.Revision)
		if err == nil {
			d.setViewEra(row.Era)
			d.adopt(next)
			return nil
		}
		if problem.Of(err) != problem.Conflict {
			return err
		}
	}
	return problem.New(problem.Conflict, "membership changed during each of %d attempts", maxViewWriteAttempts)
}

// writeView writes the view if its row still has the revision. It writes the epoch to a
// second, smaller row, which makes polling cheap.
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

// adopt stores a view if its epoch is higher than that of the known view of the data centre.
// If the data centre is this daemon's own, the daemon acts on the view from now on.
func (d *Daemon) adopt(view membership.View) {
	d.mu.Lock()
	newer := view.Epoch > d.views[view.DataCentre].Epoch
	if newer && view.DataCentre == d.Settings.DataCentre {
		d.recordLeft(view)
	}
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
	d.signalChange()
}

// syncHosts reads the platform's host list. It records which targets' hosts are leaving, and
// a poller also removes the members whose hosts are no longer listed.
func (d *Daemon) syncHosts(ctx context.Context) error {
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
	d.applyHostStates(leaving)
	if !d.isPoller() {
		return nil
	}
	return d.changeView(ctx, func(view membership.View) (membership.View, bool) {
		remaining, changed := view.RemoveUnlisted(listed)
		if changed {
			d.log.Emit(event.MemberSwept, "Epoch", remaining.Epoch, "Members", len(remaining.Members))
		}
		marked, newlyListed := remaining.MarkListed(listed)
		return marked, changed || newlyListed
	})
}

// applyHostStates records which targets' hosts are leaving, and notifies the other daemons,
// which may read the host list much later. Leaving is keyed by host.
func (d *Daemon) applyHostStates(leaving map[string]bool) {
	for _, contract := range d.registry.Document().Targets {
		isLeaving := contract.Host != "" && leaving[contract.Host]
		if !d.fleet.SetHostLeaving(contract.Name, isLeaving) {
			continue
		}
		d.log.Emit(event.TargetLeaving, "Target", contract.Name, "Leaving", isLeaving, "Source", "host list")
		d.broadcastNotice(&peerpb.Notice{Target: contract.Name, Leaving: isLeaving, Listed: true})
	}
}

// announceAdoption reports to the members of this data centre the adopted epoch and the
// requests in flight to cold targets whose guardian this daemon no longer is. It skips the
// members that have acknowledged the newest report.
func (d *Daemon) announceAdoption(ctx context.Context) error {
	view, inFlight := d.fleet.Adoption()
	if d.announced.epoch != view.Epoch || !maps.Equal(d.announced.inFlight, inFlight) {
		d.announced.epoch = view.Epoch
		d.announced.inFlight = inFlight
		d.announced.acknowledged = map[string]bool{}
	}
	call := &peerpb.Call{Kind: &peerpb.Call_Adopted{Adopted: &peerpb.Adopted{
		DataCentre:  view.DataCentre,
		Host:        d.Settings.Host,
		Incarnation: d.incarnation,
		Epoch:       d.announced.epoch,
		Busy:        int64Counts(d.announced.inFlight),
	}}}
	type result struct {
		incarnation string
		err         error
	}
	pending := 0
	results := make(chan result, len(view.Members))
	for _, m := range view.Members {
		if m.Incarnation == d.incarnation || d.announced.acknowledged[m.Incarnation] {
			continue
		}
		pending++
		go func() {
			callCtx, cancel := context.WithTimeout(ctx, backgroundTimeout)
			defer cancel()
			_, err := d.peers.Call(callCtx, m.PeerAddress, call)
			results <- result{m.Incarnation, err}
		}()
	}
	for range pending {
		if r := <-results; r.err == nil {
			d.announced.acknowledged[r.incarnation] = true
		}
	}
	return nil
}

// int64Counts converts the counts for a message.
func int64Counts(counts map[string]int) map[string]int64 {
	converted := make(map[string]int64, len(counts))
	for name, n := range counts {
		converted[name] = int64(n)
	}
	return converted
}

// fetchReports requests the reports of the next few targets of this data centre. Most
// reports arrive together with answers; this covers targets that answer few requests.
func (d *Daemon) fetchReports(context.Context) error {
	for _, contract := range d.fleet.NextLocalTargets(d.registry.Document(), reportsPerInterval) {
		d.background(func(ctx context.Context) {
			conn, err := d.links.FetchReport(ctx, contract)
			if err != nil {
				return
			}
			d.recordReport(contract.Name, conn)
		})
	}
	return nil
}

// recordReport records the newest report of the connection, broadcasts what it changed and
// returns the connection to the pool.
func (d *Daemon) recordReport(name string, conn *link.Conn) {
	change := d.fleet.Observe(name, conn.Report, conn.ReportRequestedAt)
	if change.BecameCold {
		d.log.Emit(event.TargetCold, "Target", name, "Incarnation", change.Incarnation)
	}
	if change.BecameLeaving {
		d.log.Emit(event.TargetLeaving, "Target", name, "Incarnation", change.Incarnation)
	}
	if change.BecameCold || change.BecameLeaving {
		d.BroadcastObservation(name, change)
	}
	d.links.Put(conn)
}

// expireEntries discards expired idempotency keys and successions.
func (d *Daemon) expireEntries(context.Context) error {
	d.deduplicator.Sweep()
	d.expireSuccessions()
	return nil
}

// detectPauses polls at once after the process was paused, since the views may have changed
// meanwhile.
func (d *Daemon) detectPauses(ctx context.Context) error {
	last := d.Clock.Now()
	return d.runEvery(pauseCheckInterval, "pause", func(ctx context.Context) error {
		gap := d.Clock.Since(last)
		last = d.Clock.Now()
		if gap < pauseThreshold {
			return nil
		}
		d.log.Emit(event.PauseDetected, "Gap", gap.String())
		d.poll(ctx)
		return nil
	})(ctx)
}
