package daemon

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/sequoiapick/sequoiapick/internal/catalog"
	"github.com/sequoiapick/sequoiapick/internal/event"
	"github.com/sequoiapick/sequoiapick/internal/membership"
	"github.com/sequoiapick/sequoiapick/internal/peer/peerpb"
	"github.com/sequoiapick/sequoiapick/pkg/datacentre"
)

// How many daemons one daemon exchanges state with.
const (
	localNeighbours  = 4
	remoteNeighbours = 2
)

// neighbour is a daemon to exchange state with.
type neighbour struct {
	member membership.Member
	remote bool
}

// neighbours returns the next daemons of this data centre on a ring of hashed hosts,
// and a few of other data centres.
func (d *Daemon) neighbours() []neighbour {
	var found []neighbour
	for _, m := range ring(d.fleet.View(), d.Settings.Host, d.incarnation) {
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
	for _, name := range names[:min(remoteNeighbours, len(names))] {
		if ranked := views[name].Ranked(d.Settings.Host); len(ranked) > 0 {
			found = append(found, neighbour{member: ranked[0], remote: true})
		}
	}
	return found
}

// ring returns the members that follow the host on a ring, without the daemon itself.
func ring(view membership.View, host, incarnation string) []membership.Member {
	members := append([]membership.Member(nil), view.Members...)
	sort.Slice(members, func(i, j int) bool {
		return xxhash.Sum64String(members[i].Host) < xxhash.Sum64String(members[j].Host)
	})
	own := xxhash.Sum64String(host)
	start := sort.Search(len(members), func(i int) bool { return xxhash.Sum64String(members[i].Host) > own })
	var next []membership.Member
	for i := range members {
		m := members[(start+i)%len(members)]
		if m.Incarnation != incarnation && m.Host != host && len(next) < localNeighbours {
			next = append(next, m)
		}
	}
	return next
}

// gossip exchanges digests with one neighbour, or with the seeds if there is none.
func (d *Daemon) gossip(ctx context.Context) error {
	found := d.neighbours()
	if len(found) == 0 {
		d.askSeeds(ctx)
		return nil
	}
	chosen := found[rand.IntN(len(found))]
	return d.exchange(ctx, chosen.member.PeerAddress)
}

// askNeighbours exchanges digests with every neighbour at once.
func (d *Daemon) askNeighbours(ctx context.Context) {
	found := d.neighbours()
	ended := make(chan error, len(found))
	for _, n := range found {
		go func() { ended <- d.exchange(ctx, n.member.PeerAddress) }()
	}
	for range found {
		if err := <-ended; err != nil {
			d.log.Emit(event.LoopFailed, "Task", "neighbour", "Reason", reason(err))
		}
	}
}

func (d *Daemon) askSeeds(ctx context.Context) {
	for _, seed := range d.Settings.Seeds() {
		if err := d.exchange(ctx, seed); err != nil {
			d.log.Emit(event.LoopFailed, "Task", "seed", "Seed", seed, "Reason", reason(err))
		}
	}
}

// exchange compares states with one daemon; whichever is behind is brought up.
func (d *Daemon) exchange(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, backgroundLimit)
	defer cancel()
	mine := d.digest()
	reply, err := d.peers.Call(ctx, address, &peerpb.Call{Kind: &peerpb.Call_Digest{Digest: mine}})
	if err != nil {
		return err
	}
	theirs := reply.GetDigest()
	if changes := reply.GetChanges(); changes != nil {
		if err := d.takeIn(changes, "peer"); err != nil {
			return err
		}
		theirs = changes.Digest
	}
	if theirs == nil || !differ(d.digest(), theirs) {
		return nil
	}
	changes, err := d.changesFor(theirs)
	if err != nil {
		return err
	}
	_, err = d.peers.Call(ctx, address, &peerpb.Call{Kind: &peerpb.Call_Changes{Changes: changes}})
	return err
}

func (d *Daemon) digest() *peerpb.Digest {
	return &peerpb.Digest{
		Host:          d.Settings.Host,
		DataCentre:    d.Settings.DataCentre,
		Incarnation:   d.incarnation,
		ConfigVersion: d.registry.Document().Version,
		Epoch:         d.epochs(),
		OrdersHash:    d.registry.OrdersHash(),
		HeirsHash:     uint64(d.heirCount()),
	}
}

// epochs is the sum of the epochs of all known views, which only rise.
func (d *Daemon) epochs() uint64 {
	sum := uint64(0)
	for _, view := range d.allViews() {
		sum += view.Epoch
	}
	return sum
}

func differ(a, b *peerpb.Digest) bool {
	return a.ConfigVersion != b.ConfigVersion || a.Epoch != b.Epoch || a.OrdersHash != b.OrdersHash || a.HeirsHash != b.HeirsHash
}

// handleDigest answers with what the caller lacks, or with the own digest.
func (d *Daemon) handleDigest(theirs *peerpb.Digest) (*peerpb.Reply, error) {
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

// changesFor returns what a daemon with the digest may lack.
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
		message.Orders = d.orderMessages()
	}
	if theirs.HeirsHash != uint64(d.heirCount()) {
		message.Heirs = d.heirMessages()
	}
	if theirs.Epoch != d.epochs() {
		message.Members, err = json.Marshal(d.allViews())
	}
	return message, err
}

// takeIn raises the own state to that of another daemon and passes on what came along
// a tree.
func (d *Daemon) takeIn(message *peerpb.Changes, source string) error {
	d.spreadMu.Lock()
	err := d.raise(message, source)
	if message.ID != "" {
		d.markSpread()
	}
	d.spreadMu.Unlock()
	if message.ID != "" && d.firstSight(message.ID) {
		d.passOnChanges(message)
	}
	return err
}

func (d *Daemon) raise(message *peerpb.Changes, source string) error {
	for _, o := range message.Orders {
		d.registry.ApplyOrder(datacentre.Order{ID: o.ID, DataCentre: o.DataCentre, Cancelled: o.Cancelled})
	}
	d.mergeHeirs(message.Heirs)
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
