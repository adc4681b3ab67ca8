package daemon

import (
	"context"
	"encoding/json"
	"sort"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/sequoiapick/sequoiapick/internal/catalog"
	"github.com/sequoiapick/sequoiapick/internal/membership"
	"github.com/sequoiapick/sequoiapick/internal/peer/peerpb"
)

// treeFanOut is the number of daemons to which each daemon of a broadcast tree relays a
// message.
const treeFanOut = 2

// broadcastState describes the state that this daemon has already broadcast.
type broadcastState struct {
	// version is the version of the configuration.
	version uint64
	// orders is the hash of the orders that take data centres out of service.
	orders uint64
	// successions is the number of successions.
	successions int
	// epochs holds the epoch of each view, by data centre.
	epochs map[string]uint64
}

// signalChange wakes the task that broadcasts changes. It doesn't block.
func (d *Daemon) signalChange() {
	select {
	case d.changeSignal <- struct{}{}:
	default:
	}
}

// broadcastChanges broadcasts the changes that this daemon has received from the platform or
// an operator, until the context ends. This daemon is the root of a tree over its data
// centre, and sends the changes to one daemon of each other data centre.
func (d *Daemon) broadcastChanges(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.changeSignal:
		}
		message, err := d.pendingChanges()
		if err != nil {
			return err
		}
		if message == nil {
			continue
		}
		d.markSeen(message.ID)
		d.relayChanges(message)
		d.sendToOtherDataCentres(message)
	}
}

// pendingChanges returns the changes that this daemon hasn't broadcast yet, or nil, and marks
// them as broadcast. It sends no snapshot of the configuration; daemons that need one receive
// it when they exchange digests.
func (d *Daemon) pendingChanges() (*peerpb.Changes, error) {
	d.broadcastMu.Lock()
	defer d.broadcastMu.Unlock()
	last := d.lastBroadcast
	message := &peerpb.Changes{ID: uuid.NewString(), Origin: d.Settings.Host}
	_, changes, err := d.registry.ChangesSince(last.version)
	if err != nil {
		return nil, err
	}
	for _, c := range changes {
		body, err := catalog.Encode(c)
		if err != nil {
			return nil, err
		}
		message.Changes = append(message.Changes, &peerpb.Change{Version: c.Version, ID: c.ID, Body: body})
	}
	if d.registry.OrdersHash() != last.orders {
		message.Orders = d.outOrderMessages()
	}
	if d.successionCount() > last.successions {
		message.Heirs = d.successionMessages()
	}
	views := map[string]membership.View{}
	for name, view := range d.allViews() {
		if view.Epoch > last.epochs[name] {
			views[name] = view
		}
	}
	if len(views) > 0 {
		if message.Members, err = json.Marshal(views); err != nil {
			return nil, err
		}
	}
	d.markBroadcast()
	if len(message.Changes)+len(message.Orders)+len(message.Heirs)+len(views) == 0 {
		return nil, nil
	}
	return message, nil
}

// markBroadcast records that the present state is being broadcast; the caller holds
// broadcastMu.
func (d *Daemon) markBroadcast() {
	d.lastBroadcast = broadcastState{
		version:     d.registry.Document().Version,
		orders:      d.registry.OrdersHash(),
		successions: d.successionCount(),
		epochs:      map[string]uint64{},
	}
	for name, view := range d.allViews() {
		d.lastBroadcast.epochs[name] = view.Epoch
	}
}

// relayChanges sends the message to this daemon's children in the tree whose root is the
// origin of the message. An origin that isn't a member yet sends it as the root of a tree
// over all members.
func (d *Daemon) relayChanges(message *peerpb.Changes) {
	order := treeOrder(d.fleet.View(), message.Origin)
	for i, m := range order {
		if m.Incarnation == d.incarnation {
			d.sendToChildren(message, order, i)
			return
		}
	}
	if message.Origin == d.Settings.Host {
		d.sendToChildren(message, append([]membership.Member{d.selfMember()}, order...), 0)
	}
}

// sendToChildren sends the message to the children of a position in the tree. If a child is
// unreachable, this daemon sends the message to the children of that child.
func (d *Daemon) sendToChildren(message *peerpb.Changes, order []membership.Member, position int) {
	for child := position*treeFanOut + 1; child <= position*treeFanOut+treeFanOut && child < len(order); child++ {
		d.background(func(ctx context.Context) {
			if d.sendChanges(ctx, order[child], message) != nil {
				d.sendToChildren(message, order, child)
			}
		})
	}
}

// sendChanges sends the message to a member, and exchanges digests with it if it lacks
// earlier changes.
func (d *Daemon) sendChanges(ctx context.Context, m membership.Member, message *peerpb.Changes) error {
	reply, err := d.peers.Call(ctx, m.PeerAddress, &peerpb.Call{Kind: &peerpb.Call_Changes{Changes: message}})
	if err != nil {
		return err
	}
	if !reply.GetAck().GetAccepted() {
		return d.exchangeDigests(ctx, m.PeerAddress)
	}
	return nil
}

// sendToOtherDataCentres sends the message to one daemon of each other data centre, which is
// the root of the tree there.
func (d *Daemon) sendToOtherDataCentres(message *peerpb.Changes) {
	for name, view := range d.allViews() {
		ranked := view.Ranked(d.Settings.Host)
		if name == d.Settings.DataCentre || len(ranked) == 0 {
			continue
		}
		remote := &peerpb.Changes{
			Changes: message.Changes, Orders: message.Orders, Heirs: message.Heirs, Members: message.Members,
			ID: message.ID, Origin: ranked[0].Host,
		}
		d.background(func(ctx context.Context) {
			for _, m := range ranked[:min(len(ranked), maxRootAttempts)] {
				remote.Origin = m.Host
				if d.sendChanges(ctx, m, remote) == nil {
					return
				}
			}
		})
	}
}

// maxRootAttempts is the maximum number of daemons of another data centre that are tried as
// the root.
const maxRootAttempts = 2

// treeOrder returns the members in the order of hashed hosts, starting with the origin,
// which is the root of the tree. The children of position i are at positions
// treeFanOut*i+1 to treeFanOut*i+treeFanOut.
func treeOrder(view membership.View, origin string) []membership.Member {
	members := append([]membership.Member(nil), view.Members...)
	sort.Slice(members, func(i, j int) bool {
		return xxhash.Sum64String(members[i].Host) < xxhash.Sum64String(members[j].Host)
	})
	for i, m := range members {
		if m.Host == origin {
			return append(members[i:], members[:i]...)
		}
	}
	return members
}

// outOrderMessages returns, for other daemons, the known orders that take data centres out of
// service.
func (d *Daemon) outOrderMessages() []*peerpb.OutOrder {
	var messages []*peerpb.OutOrder
	for _, o := range d.registry.Orders() {
		messages = append(messages, &peerpb.OutOrder{ID: o.ID, DataCentre: o.DataCentre, Cancelled: o.Cancelled})
	}
	return messages
}
