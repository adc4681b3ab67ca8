package entry

import (
	"slices"
	"sync"
	"time"

	"github.com/sequoiapick/sequoiapick/internal/event"
	"github.com/sequoiapick/sequoiapick/platform"
)

// versionTable holds the versions of the targets of each service. A version that is new for its service
// is withheld until this daemon's copy of the operators' table is as recent as the row of its first
// target: operators order a rollout before they start the new targets, so that the order is known then.
type versionTable struct {
	daemon *Daemon

	mu sync.Mutex
	// services holds the versions by service.
	services map[string]map[string]*targetVersion
}

// targetVersion is one version of the targets of a service.
type targetVersion struct {
	// withheld is set until the copy of the operators' table has reached rowVersion of era, those of the
	// row in which the version was first seen.
	withheld   bool
	rowVersion int64
	era        int64
	// listed holds the IDs of the targets with this version, goneAt is when the last one was removed.
	listed map[string]bool
	goneAt time.Time
}

// versionRetention is how long a version without targets is remembered. The rows of live targets may be
// missing for some seconds after an outage of the store, and their version isn't new then.
const versionRetention = 10 * time.Second

// versionSighting is a version in a row of the targets table.
type versionSighting struct {
	report platform.TargetReport
	row    platform.Row
}

// observe records the versions of reported targets before they are used. A version that is alone in its
// service isn't withheld, since the requests can't go to another one.
func (v *versionTable) observe(sightings []versionSighting, era int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.services == nil {
		v.services = map[string]map[string]*targetVersion{}
	}
	added := map[string][]string{}
	for _, s := range sightings {
		service, version := s.report.Service, s.report.SoftwareVersion
		versions := v.services[service]
		if versions == nil {
			versions = map[string]*targetVersion{}
			v.services[service] = versions
		}
		known := versions[version]
		if known == nil {
			known = &targetVersion{rowVersion: s.row.Version, era: era, listed: map[string]bool{}}
			versions[version] = known
			added[service] = append(added[service], version)
		}
		for _, other := range versions {
			if other != known && other.listed[s.report.ID] {
				delete(other.listed, s.report.ID)
				other.goneAt = v.daemon.Clock.Now()
			}
		}
		known.listed[s.report.ID] = true
	}
	for service, versions := range added {
		v.withhold(service, versions)
	}
}

// withhold withholds the new versions of a service, except for that of an order, which is known, and for
// one that is alone besides it. The caller holds mu.
func (v *versionTable) withhold(service string, added []string) {
	ordered := v.daemon.rollouts.orderedVersion(service)
	added = slices.DeleteFunc(added, func(version string) bool { return version == ordered })
	others := len(v.services[service]) - len(added)
	if _, listed := v.services[service][ordered]; listed {
		others--
	}
	if len(added) == 1 && others == 0 {
		return
	}
	for _, version := range added {
		known := v.services[service][version]
		known.withheld = true
		v.daemon.inventory.SetWithheld(service, version, true)
		v.daemon.log.Emit(event.VersionWithheld, "Service", service, "Version", version, "Row", known.rowVersion)
	}
}

// remove records that the row of a target was removed.
func (v *versionTable) remove(id string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, versions := range v.services {
		for _, known := range versions {
			if known.listed[id] {
				delete(known.listed, id)
				known.goneAt = v.daemon.Clock.Now()
			}
		}
	}
}

// update ends the withholding of the versions whose rows are as old as the copy of the operators' table,
// or older, and forgets versions without targets.
func (v *versionTable) update() {
	r := v.daemon.tableReaders[platform.TableOperator]
	era, tableVersion, loaded := r.position()
	if !loaded {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.daemon.Clock.Now()
	for service, versions := range v.services {
		for version, known := range versions {
			if len(known.listed) == 0 && now.Sub(known.goneAt) > versionRetention {
				v.daemon.inventory.SetWithheld(service, version, false)
				delete(versions, version)
				continue
			}
			if !known.withheld || era < known.era || era == known.era && tableVersion < known.rowVersion {
				continue
			}
			known.withheld = false
			v.daemon.inventory.SetWithheld(service, version, false)
			v.daemon.log.Emit(event.VersionReleased, "Service", service, "Version", version, "Row", known.rowVersion, "TableVersion", tableVersion)
		}
	}
}
