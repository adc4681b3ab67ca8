package entry

import (
	"time"

	"github.com/sequoiapick/sequoiapick/internal/event"
	"github.com/sequoiapick/sequoiapick/platform"
)

const (
	// operatorFeedTimeout is the time for which a read of the operators' table waits for a
	// change. Every daemon must use a new configuration within 2 s, also a follower that reads
	// itself because the leader relays nothing.
	operatorFeedTimeout = 400 * time.Millisecond
	// operatorFollowerMaxAge is the age of the copy at which a follower reads the operators'
	// table.
	operatorFollowerMaxAge = 950 * time.Millisecond
	// targetsLeaderInterval is the time between two reads of the targets table by the leader,
	// targetsFollowerMaxAge the age of the copy at which a follower reads it. From 2 s after a
	// target begins to leave, no new request may go to it.
	targetsLeaderInterval = 400 * time.Millisecond
	targetsFollowerMaxAge = 900 * time.Millisecond
	// membersFeedTimeout and membersFollowerMaxAge are longer, since the members table changes
	// only when daemons start or stop.
	membersFeedTimeout    = 2 * time.Second
	membersFollowerMaxAge = 4 * time.Second
	// quarantineFeedTimeout and quarantineFollowerMaxAge are long too: the table changes seldom,
	// a feed returns at once when it does, and the finder of a part also uses the links.
	quarantineFeedTimeout    = 5 * time.Second
	quarantineFollowerMaxAge = 8 * time.Second
	// rolloutsFeedTimeout and rolloutsFollowerMaxAge let a daemon that learns of a phase over no link do
	// so within half of the shortest usual roll-back delay of 5 s.
	rolloutsFeedTimeout    = 2 * time.Second
	rolloutsFollowerMaxAge = 2500 * time.Millisecond
)

// restoredRowWait is the time, in heartbeats, after which a row that came back with a restored store
// counts as that of a live target: the store removes rows that aren't renewed for three heartbeats.
const restoredRowWait = 4

// createTableReaders creates the readers of the store's tables.
func (d *Daemon) createTableReaders() {
	reader := func(table string, feedTimeout, leaderInterval, followerMaxAge time.Duration, apply func([]platform.Row, updateSource)) *tableReader {
		return &tableReader{
			daemon:         d,
			table:          table,
			feedTimeout:    feedTimeout,
			leaderInterval: leaderInterval,
			followerMaxAge: followerMaxAge,
			lapseAfter:     2 * d.settings.Heartbeat, // targets report, and renew their rows, at this interval
			apply:          apply,
			recheck:        make(chan struct{}, 1),
		}
	}
	d.tableReaders = map[string]*tableReader{
		platform.TableOperator:   reader(platform.TableOperator, operatorFeedTimeout, 0, operatorFollowerMaxAge, d.applyOperatorRows),
		platform.TableTargets:    reader(platform.TableTargets, 0, targetsLeaderInterval, targetsFollowerMaxAge, d.applyTargetRows),
		platform.TableMembers:    reader(platform.TableMembers, membersFeedTimeout, 0, membersFollowerMaxAge, d.members.applyRows),
		platform.TableQuarantine: reader(platform.TableQuarantine, quarantineFeedTimeout, 0, quarantineFollowerMaxAge, d.quarantine.applyRows),
	}
	if d.settings.Contracts.Rollout {
		d.tableReaders[platform.TableRollouts] = reader(platform.TableRollouts, rolloutsFeedTimeout, 0, rolloutsFollowerMaxAge, d.rollouts.applyRows)
	}
}

// applyOperatorRows handles rows of the operators' table: configurations, and orders that take
// a data centre out of service or put it back.
func (d *Daemon) applyOperatorRows(changes []platform.Row, source updateSource) {
	if d.settings.Contracts.Rollout {
		d.rollouts.applyOrders(changes, source)
	}
	for _, row := range changes {
		decoded, err := platform.DecodeOperatorRow(row)
		if err != nil {
			d.log.Emit(event.ConfigurationStale, "Row", row.Key, "Reason", err.Error())
			continue
		}
		switch v := decoded.(type) {
		case platform.Configuration:
			d.configuration.setListed(v.Table.Version)
			d.applyConfiguration(v, row, source)
		case platform.Evacuation:
			d.applyEvacuation(v, row.Version, source)
		}
	}
}

// applyEvacuation takes a data centre out of service or puts it back. An order that is missing after
// the store was restored may have been given in the time that the store lost.
func (d *Daemon) applyEvacuation(v platform.Evacuation, version int64, source updateSource) {
	e := event.DataCentreIn
	switch {
	case v.Out:
		e = event.DataCentreOut
		d.inventory.SetDataCentreOut(v.DataCentre, true)
	case source.restored:
		e = event.DataCentreOutLapsed
		d.inventory.LapseDataCentreOut(v.DataCentre)
	default:
		d.inventory.SetDataCentreOut(v.DataCentre, false)
	}
	d.log.Emit(e, "DataCentre", v.DataCentre, "Version", version)
}

// applyTargetRows handles rows of the targets table, which hold the reports of targets.
func (d *Daemon) applyTargetRows(changes []platform.Row, source updateSource) {
	if d.settings.Contracts.Rollout {
		d.observeVersions(changes, source.era)
	}
	for _, row := range changes {
		if row.Deleted {
			d.inventory.Remove(row.Key, source.lapsed)
			continue
		}
		report, err := platform.DecodeTarget(row)
		if err != nil {
			d.log.Emit(event.TargetMalformed, "Target", row.Key, "Reason", err.Error())
			d.inventory.Remove(row.Key, false)
			continue
		}
		if source.restored {
			d.inventory.ApplyRestoredReport(report, restoredRowWait*d.settings.Heartbeat)
			continue
		}
		d.inventory.ApplyReport(report)
	}
}

// observeVersions records the versions of targets in rows of the targets table. Malformed rows are left
// to applyTargetRows.
func (d *Daemon) observeVersions(changes []platform.Row, era int64) {
	var sightings []versionSighting
	for _, row := range changes {
		report, err := platform.DecodeTarget(row)
		if row.Deleted || err != nil {
			d.versions.remove(row.Key)
			continue
		}
		sightings = append(sightings, versionSighting{report, row})
	}
	d.versions.observe(sightings, era)
}
