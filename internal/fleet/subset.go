package fleet

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/sequoiapick/sequoiapick/internal/catalog"
	"github.com/sequoiapick/sequoiapick/pkg/target"
)

// Maximum numbers of targets of one kind that a daemon chooses among.
const (
	// LocalSubsetSize is the maximum number in its own data centre.
	LocalSubsetSize = 16
	// RemoteSubsetSize is the maximum number in all other data centres together.
	RemoteSubsetSize = 8
)

// subsets caches the targets that this daemon chooses among, by kind, for one version of
// the configured targets.
type subsets struct {
	version uint64
	byKind  map[string][]target.Target
}

// subset returns the targets of the kind that this daemon chooses among. Each daemon has
// a different subset, by rendezvous hashing, so that together the daemons use every target.
func (f *Fleet) subset(document catalog.Document, kind string) []target.Target {
	if f.subsets.version != document.TargetsVersion || f.subsets.byKind == nil {
		f.subsets = subsets{version: document.TargetsVersion, byKind: map[string][]target.Target{}}
	}
	if known, ok := f.subsets.byKind[kind]; ok {
		return known
	}
	chosen := f.chooseSubset(document.TargetsOfKind(kind))
	f.subsets.byKind[kind] = chosen
	return chosen
}

// chooseSubset returns the subset of the targets for this daemon, sorted by name.
func (f *Fleet) chooseSubset(contracts []target.Target) []target.Target {
	sort.SliceStable(contracts, func(i, j int) bool {
		return xxhash.Sum64String(f.Host+contracts[i].Name) < xxhash.Sum64String(f.Host+contracts[j].Name)
	})
	var chosen []target.Target
	local, remote := 0, 0
	for _, contract := range contracts {
		switch {
		case contract.DataCentre == f.DataCentre && local < LocalSubsetSize:
			local++
		case contract.DataCentre != f.DataCentre && remote < RemoteSubsetSize:
			remote++
		default:
			continue
		}
		chosen = append(chosen, contract)
	}
	sort.Slice(chosen, func(i, j int) bool { return chosen[i].Name < chosen[j].Name })
	return chosen
}

// NextLocalTargets returns up to count targets of this data centre in order of their names,
// starting after the last one that the previous call returned.
func (f *Fleet) NextLocalTargets(document catalog.Document, count int) []target.Target {
	f.mu.Lock()
	defer f.mu.Unlock()
	var local []target.Target
	for _, contract := range document.Targets {
		if contract.DataCentre == f.DataCentre {
			local = append(local, contract)
		}
	}
	if len(local) == 0 {
		return nil
	}
	sort.Slice(local, func(i, j int) bool { return local[i].Name < local[j].Name })
	var next []target.Target
	for range min(count, len(local)) {
		f.localTurn++
		next = append(next, local[f.localTurn%len(local)])
	}
	return next
}
