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

// fanOut is the number of daemons to which each daemon passes a change on.
const fanOut = 2

// spreadState is what this daemon has already passed on.
type spreadState struct {
	version uint64
	orders  uint64
	heirs   int
	epochs  map[string]uint64
}

// changed wakes the task that spreads changes.
func (d *Daemon) changed() {
	select {
	case d.moved <- struct{}{}:
	default:
	}
}

// spreadChanges passes on what this daemon has learnt from the platform or an operator,
// as the root of a tree over its data centre.
func (d *Daemon) spreadChanges(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.moved:
		}
		message, err := d.unspread()
		if err != nil {
			return err
		}
		if message == nil {
			continue
		}
		d.firstSight(message.ID)
		d.passOnChanges(message)
		d.passAbroad(message)
	}
}

// unspread returns what has changed here and wasn't passed on, or nil.
func (d *Daemon) unspread() (*peerpb.Changes, error) {
	d.spreadMu.Lock()
	defer d.spreadMu.Unlock()
	last := d.spread
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
		message.Orders = d.orderMessages()
	}
	if d.heirCount() > last.heirs {
		message.Heirs = d.heirMessages()
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
	d.markSpread()
	if len(message.Changes)+len(message.Orders)+len(message.Heirs)+len(views) == 0 {
		return nil, nil
	}
	return message, nil
}

// markSpread notes that the present state is being passed on.
func (d *Daemon) markSpread() {
	d.spread = spreadState{
		version: d.registry.Document().Version,
		orders:  d.registry.OrdersHash(),
		heirs:   d.heirCount(),
		epochs:  map[string]uint64{},
	}
	for name, view := range d.allViews() {
		d.spread.epochs[name] = view.Epoch
	}
}

// passOnChanges sends the message to this daemon's children in the tree of its origin.
func (d *Daemon) passOnChanges(message *peerpb.Changes) {
	order := treeOrder(d.fleet.View(), message.Origin)
	for i, m := range order {
		if m.Incarnation == d.incarnation {
			d.sendDown(message, order, i)
			return
		}
	}
	if message.Origin == d.Settings.Host {
		d.sendDown(message, append([]membership.Member{d.me()}, order...), 0)
	}
}

// sendDown sends the message to the children of a place in the tree; the children of a
// daemon that can't be reached get it from here.
func (d *Daemon) sendDown(message *peerpb.Changes, order []membership.Member, place int) {
	for child := place*fanOut + 1; child <= place*fanOut+fanOut && child < len(order); child++ {
		d.background(func(ctx context.Context) {
			if d.sendChanges(ctx, order[child], message) != nil {
				d.sendDown(message, order, child)
			}
		})
	}
}

func (d *Daemon) sendChanges(ctx context.Context, m membership.Member, message *peerpb.Changes) error {
	reply, err := d.peers.Call(ctx, m.PeerAddress, &peerpb.Call{Kind: &peerpb.Call_Changes{Changes: message}})
	if err != nil {
		return err
	}
	if !reply.GetAck().GetAccepted() {
		return d.exchange(ctx, m.PeerAddress)
	}
	return nil
}

// passAbroad hands the message to one daemon of each other data centre, which is the
// root there.
func (d *Daemon) passAbroad(message *peerpb.Changes) {
	for name, view := range d.allViews() {
		ranked := view.Ranked(d.Settings.Host)
		if name == d.Settings.DataCentre || len(ranked) == 0 {
			continue
		}
		abroad := &peerpb.Changes{
			Changes: message.Changes, Orders: message.Orders, Heirs: message.Heirs, Members: message.Members,
			ID: message.ID, Origin: ranked[0].Host,
		}
		d.background(func(ctx context.Context) {
			for _, m := range ranked[:min(len(ranked), abroadTries)] {
				abroad.Origin = m.Host
				if d.sendChanges(ctx, m, abroad) == nil {
					return
				}
			}
		})
	}
}

// abroadTries bounds the daemons of one data centre that are tried as root.
const abroadTries = 2

// treeOrder returns the members in ring order, starting with the origin; the children
// of place i are at places fanOut*i+1 to fanOut*i+fanOut.
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

func (d *Daemon) orderMessages() []*peerpb.OutOrder {
	var messages []*peerpb.OutOrder
	for _, o := range d.registry.Orders() {
		messages = append(messages, &peerpb.OutOrder{ID: o.ID, DataCentre: o.DataCentre, Cancelled: o.Cancelled})
	}
	return messages
}
