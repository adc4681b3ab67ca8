package daemon

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sequoiapick/sequoiapick/internal/catalog"
	"github.com/sequoiapick/sequoiapick/internal/event"
	"github.com/sequoiapick/sequoiapick/internal/membership"
	"github.com/sequoiapick/sequoiapick/internal/peer/peerpb"
	"github.com/sequoiapick/sequoiapick/pkg/datacentre"
)

// Maximum numbers of daemons with which one daemon exchanges state.
const (
	maxLocalNeighbours  = 4
	maxRemoteNeighbours = 2
)

// neighbour is a daemon to exchange state with.
type neighbour struct {
	member membership.Member
	remote bool
}

// neighbours returns the daemons that follow this one in its data centre, on a ring of
// hashed hosts, and one daemon of each of maxRemoteNeighbours other data centres.
func (d *Daemon) neighbours() []neighbour {
	var found []neighbour
	for _, m := range ringSuccessors(d.fleet.View(), d.Settings.Host, d.incarnation) {
		found = append(found, neighbour{member: m})
	}
	views := d.allViews()
	delete(views, d.Settings.DataCentre)
	names := make([]string, 0, len(views))
	for name := range views {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool {
		return xxhash.Sum64String(d.Settings.Host+names[i]) < xxhash.Sum64String(d.Settings.Host+names[j])
	})
	for _, name := range names[:min(maxRemoteNeighbours, len(names))] {
		if ranked := views[name].Ranked(d.Settings.Host); len(ranked) > 0 {
			found = append(found, neighbour{member: ranked[0], remote: true})
		}
	}
	return found
}

// ringSuccessors returns up to maxLocalNeighbours members that follow the host in the order
// of hashed hosts. It omits the members of the host and the incarnation.
func ringSuccessors(view membership.View, host, incarnation string) []membership.Member {
	members := append([]membership.Member(nil), view.Members...)
	sort.Slice(members, func(i, j int) bool {
		return xxhash.Sum64String(members[i].Host) < xxhash.Sum64String(members[j].Host)
	})
	own := xxhash.Sum64String(host)
	start := sort.Search(len(members), func(i int) bool { return xxhash.Sum64String(members[i].Host) > own })
	var next []membership.Member
	for i := range members {
		m := members[(start+i)%len(members)]
		if m.Incarnation != incarnation && m.Host != host && len(next) < maxLocalNeighbours {
			next = append(next, m)
		}
	}
	return next
}

// gossip exchanges digests with one random neighbour, or with the seeds, the daemons whose
// addresses are configured, if it knows none.
func (d *Daemon) gossip(ctx context.Context) error {
	found := d.neighbours()
	if len(found) == 0 {
		d.exchangeWithSeeds(ctx)
		return nil
	}
	chosen := found[rand.IntN(len(found))]
	return d.exchangeDigests(ctx, chosen.member.PeerAddress)
}

// exchangeWithNeighbours exchanges digests with every neighbour concurrently.
func (d *Daemon) exchangeWithNeighbours(ctx context.Context) {
	found := d.neighbours()
	ended := make(chan error, len(found))
	for _, n := range found {
		go func() { ended <- d.exchangeDigests(ctx, n.member.PeerAddress) }()
	}
	for range found {
		if err := <-ended; err != nil {
			d.log.Emit(event.LoopFailed, "Task", "neighbour", "Reason", failureReason(err))
		}
	}
}

// exchangeWithSeeds exchanges digests with each configured seed address in turn.
func (d *Daemon) exchangeWithSeeds(ctx context.Context) {
	for _, seed := range d.Settings.Seeds() {
		if err := d.exchangeDigests(ctx, seed); err != nil {
			d.log.Emit(event.LoopFailed, "Task", "seed", "Seed", seed, "Reason", failureReason(err))
		}
	}
}

// exchangeDigests compares digests, which summarize the state, with the daemon at the
// address, host:port. This daemon applies the changes in the reply and sends those that the
// other one lacks.
func (d *Daemon) exchangeDigests(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, backgroundTimeout)
	defer cancel()
	mine := d.digest()
	reply, err := d.peers.Call(ctx, address, &peerpb.Call{Kind: &peerpb.Call_Digest{Digest: mine}})
	if err != nil {
		return err
	}
	theirs := reply.GetDigest()
	if changes := reply.GetChanges(); changes != nil {
		if err := d.handleChanges(changes, "peer"); err != nil {
			return err
		}
		theirs = changes.Digest
	}
	d.observeRestore(theirs)
	if theirs == nil || !digestsDiffer(d.digest(), theirs) {
		return nil
	}
	changes, err := d.changesFor(theirs)
	if err != nil {
		return err
	}
	_, err = d.peers.Call(ctx, address, &peerpb.Call{Kind: &peerpb.Call_Changes{Changes: changes}})
	return err
}

// digest returns the summary of this daemon's state that other daemons compare with theirs.
// Epoch carries epochSum, and HeirsHash the number of known successions.
func (d *Daemon) digest() *peerpb.Digest {
	era, restoredAgo := d.deduplicator.Restore()
	return &peerpb.Digest{
		Host:          d.Settings.Host,
		DataCentre:    d.Settings.DataCentre,
		Incarnation:   d.incarnation,
		ConfigVersion: d.registry.Document().Version,
		Epoch:         d.epochSum(),
		OrdersHash:    d.registry.OrdersHash(),
		HeirsHash:     uint64(d.successionCount()),

		Era:            era,
		RestoredMillis: restoredAgo.Milliseconds(),
	}
}

// observeRestore records what the digest of another daemon says about restores of the platform's table.
func (d *Daemon) observeRestore(theirs *peerpb.Digest) {
	d.deduplicator.ObserveRestore(theirs.GetEra(), time.Duration(theirs.GetRestoredMillis())*time.Millisecond)
}

// epochSum returns the sum of the epochs of all known views. Epochs never decrease, so a
// higher sum means newer views.
func (d *Daemon) epochSum() uint64 {
	sum := uint64(0)
	for _, view := range d.allViews() {
		sum += view.Epoch
	}
	return sum
}

// digestsDiffer reports whether the two states differ.
func digestsDiffer(a, b *peerpb.Digest) bool {
	return a.ConfigVersion != b.ConfigVersion || a.Epoch != b.Epoch || a.OrdersHash != b.OrdersHash || a.HeirsHash != b.HeirsHash
}

// handleDigest returns the changes that the caller may lack, or this daemon's digest if it
// lacks none.
func (d *Daemon) handleDigest(theirs *peerpb.Digest) (*peerpb.Reply, error) {
	d.observeRestore(theirs)
	mine := d.digest()
	ahead := mine.ConfigVersion > theirs.ConfigVersion || mine.Epoch > theirs.Epoch
	if !ahead && mine.OrdersHash == theirs.OrdersHash && mine.HeirsHash <= theirs.HeirsHash {
		return &peerpb.Reply{Kind: &peerpb.Reply_Digest{Digest: mine}}, nil
	}
	changes, err := d.changesFor(theirs)
	if err != nil {
		return nil, err
	}
	return &peerpb.Reply{Kind: &peerpb.Reply_Changes{Changes: changes}}, nil
}

// changesFor returns the changes that a daemon with the digest may lack.
func (d *Daemon) changesFor(theirs *peerpb.Digest) (*peerpb.Changes, error) {
	snapshot, changes, err := d.registry.ChangesSince(theirs.ConfigVersion)
	if err != nil {
		return nil, err
	}
	message := &peerpb.Changes{Snapshot: snapshot, Digest: d.digest()}
	for _, c := range changes {
		body, err := catalog.Encode(c)
		if err != nil {
			return nil, err
		}
		message.Changes = append(message.Changes, &peerpb.Change{Version: c.Version, ID: c.ID, Body: body})
	}
	if theirs.OrdersHash != d.registry.OrdersHash() {
		message.Orders = d.outOrderMessages()
	}
	if theirs.HeirsHash != uint64(d.successionCount()) {
		message.Heirs = d.successionMessages()
	}
	if theirs.Epoch != d.epochSum() {
		message.Members, err = json.Marshal(d.allViews())
	}
	return message, err
}

// handleChanges applies the changes of another daemon. A message with an ID is part of a
// broadcast and is relayed once, even if this daemon fails to apply it.
func (d *Daemon) handleChanges(message *peerpb.Changes, source string) error {
	d.broadcastMu.Lock()
	err := d.applyChanges(message, source)
	if message.ID != "" {
		d.markBroadcast()
	}
	d.broadcastMu.Unlock()
	if message.ID != "" && d.markSeen(message.ID) {
		d.relayChanges(message)
	}
	return err
}

// applyChanges applies the orders, successions, views and configuration changes that are
// newer than this daemon's. Source names their origin for the log.
func (d *Daemon) applyChanges(message *peerpb.Changes, source string) error {
	for _, o := range message.Orders {
		d.registry.ApplyOrder(datacentre.Order{ID: o.ID, DataCentre: o.DataCentre, Cancelled: o.Cancelled})
	}
	d.mergeSuccessions(message.Heirs)
	if len(message.Members) > 0 {
		var views map[string]membership.View
		if err := json.Unmarshal(message.Members, &views); err != nil {
			return err
		}
		for _, view := range views {
			d.adopt(view)
		}
	}
	if len(message.Snapshot) > 0 {
		if err := d.registry.ApplySnapshot(message.Snapshot); err != nil {
			return err
		}
	}
	var changes []catalog.Change
	for _, c := range message.Changes {
		change, err := catalog.DecodeChange(c.Body)
		if err != nil {
			return err
		}
		changes = append(changes, change)
	}
	return d.registry.Apply(changes, source)
}
