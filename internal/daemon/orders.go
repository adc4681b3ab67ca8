package daemon

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/sequoiapick/sequoiapick/internal/event"
	"github.com/sequoiapick/sequoiapick/internal/guardian"
	"github.com/sequoiapick/sequoiapick/internal/link"
	"github.com/sequoiapick/sequoiapick/internal/peer/peerpb"
	"github.com/sequoiapick/sequoiapick/internal/platform"
	"github.com/sequoiapick/sequoiapick/pkg/problem"
	"github.com/sequoiapick/sequoiapick/pkg/target"
)

const fencePrefix = "fence/"

// Bounds of one order.
const (
	orderLimit = 5 * time.Second
	// maxOrderPause is the longest time between the check of the guardianship and the
	// send; a daemon that was paused in between gives the order up.
	maxOrderPause = 500 * time.Millisecond
	fenceTries    = 5
)

// The outcomes of an order.
const (
	OrderDone     = "Done"
	OrderRejected = "Refused"
	OrderUnknown  = "Unknown"
)

// orderActions are the orders that targets take.
var orderActions = map[string]bool{"LoadModel": true, "LoadAdapter": true, "LoadVersion": true, "ChangeRole": true}

// fence is the row that holds the newest fencing number of a target.
type fence struct {
	Number uint64
	Holder string
}

// Order implements operator.System: it sends an order to a target through the daemon
// that guards it, under a fencing number that no other order has had.
func (d *Daemon) Order(ctx context.Context, name, action, argument string) (uint64, string, error) {
	contract, ok := d.registry.Document().Targets[name]
	if !ok {
		return 0, "", problem.New(problem.NotFound, "target %q", name)
	}
	if !orderActions[action] {
		return 0, "", problem.New(problem.Invalid, "action %q, allowed are LoadModel, LoadAdapter, LoadVersion and ChangeRole", action)
	}
	ctx, cancel := context.WithTimeout(ctx, orderLimit)
	defer cancel()
	view := d.View(contract.DataCentre)
	m, ok := view.Guardian(name)
	if !ok {
		return 0, "", problem.New(problem.Unavailable, "no daemon of data centre %q is known", contract.DataCentre)
	}
	if m.Incarnation == d.incarnation {
		return d.orderAsGuardian(ctx, contract, action, argument)
	}
	call := &peerpb.Call{Kind: &peerpb.Call_Fence{Fence: &peerpb.Fence{Target: name, Action: action, Argument: argument}}}
	reply, err := d.peers.Call(ctx, m.PeerAddress, call)
	if err != nil {
		return 0, OrderUnknown, err
	}
	f := reply.GetFenceReply()
	if f.GetFailure() != "" {
		return f.Fencing, f.Outcome, problem.New(problem.Kind(f.Failure), "guardian %s gave the order up", m.Host)
	}
	return f.GetFencing(), f.GetOutcome(), nil
}

func (d *Daemon) handleFence(ctx context.Context, call *peerpb.Fence) *peerpb.Reply {
	reply := &peerpb.FenceReply{}
	contract, ok := d.registry.Document().Targets[call.Target]
	if !ok {
		reply.Failure = string(problem.NotFound)
	} else {
		ctx, cancel := context.WithTimeout(ctx, orderLimit)
		defer cancel()
		fencing, outcome, err := d.orderAsGuardian(ctx, contract, call.Action, call.Argument)
		reply.Fencing = fencing
		reply.Outcome = outcome
		if err != nil {
			reply.Failure = string(problem.Of(err))
		}
	}
	return &peerpb.Reply{Kind: &peerpb.Reply_FenceReply{FenceReply: reply}}
}

// orderAsGuardian sends the order if this daemon guards the target. A target that
// checks the number refuses what a former guardian sends late. For one that ignores
// it, the guardianship itself keeps a second holder away, since it doesn't lapse while
// its holder is paused.
func (d *Daemon) orderAsGuardian(ctx context.Context, contract target.Target, action, argument string) (uint64, string, error) {
	defer d.orderTurn(contract.Name)()
	number, err := d.nextFence(ctx, contract.Name)
	if err != nil {
		return 0, OrderRejected, err
	}
	conn, err := d.links.Dial(ctx, contract)
	if err != nil {
		return number, OrderRejected, err
	}
	defer d.links.Close(conn)
	checked := d.Clock.Now()
	if _, ok := d.fleet.GuardianDecision(contract).(guardian.Granted); !ok {
		d.log.Emit(event.OrderRefused, "Target", contract.Name, "Action", action, "Reason", "not the active guardian")
		return number, OrderRejected, problem.New(problem.Unavailable, "this daemon is not the active guardian of %q", contract.Name)
	}
	return d.sendOrder(ctx, conn, contract, link.Order{Action: action, Argument: argument, Fencing: number}, checked)
}

// orderTurn waits for the target's earlier orders, so that the numbers reach it in
// order, and returns the function that ends the turn.
func (d *Daemon) orderTurn(name string) func() {
	d.mu.Lock()
	if d.turns == nil {
		d.turns = map[string]*sync.Mutex{}
	}
	turn := d.turns[name]
	if turn == nil {
		turn = &sync.Mutex{}
		d.turns[name] = turn
	}
	d.mu.Unlock()
	turn.Lock()
	return turn.Unlock
}

func (d *Daemon) sendOrder(ctx context.Context, conn *link.Conn, contract target.Target, order link.Order, checked time.Time) (uint64, string, error) {
	if d.Clock.Since(checked) > maxOrderPause {
		return order.Fencing, OrderRejected, problem.New(problem.Unavailable, "paused before the order was sent")
	}
	refused, err := conn.SendOrder(ctx, order)
	switch {
	case err != nil:
		return order.Fencing, OrderUnknown, err
	case refused:
		d.log.Emit(event.OrderRefused, "Target", contract.Name, "Action", order.Action, "Fencing", order.Fencing, "Reason", "old fencing number")
		return order.Fencing, OrderRejected, nil
	default:
		d.log.Emit(event.OrderSent, "Target", contract.Name, "Action", order.Action, "Fencing", order.Fencing)
		return order.Fencing, OrderDone, nil
	}
}

// nextFence takes the next fencing number of the target from the platform's table. A
// number whose commit was lost is passed over.
func (d *Daemon) nextFence(ctx context.Context, name string) (uint64, error) {
	key := fencePrefix + name
	var last error
	for range fenceTries {
		row, found, err := d.platform.Get(ctx, key)
		if err != nil {
			return 0, err
		}
		var f fence
		if found {
			if err := json.Unmarshal(row.Value, &f); err != nil {
				return 0, problem.New(problem.Internal, "fence row: %v", err)
			}
		}
		next := fence{Number: f.Number + 1, Holder: d.incarnation}
		value, err := json.Marshal(next)
		if err != nil {
			return 0, problem.New(problem.Internal, "encode fence: %v", err)
		}
		_, last = d.platform.Commit(ctx, platform.Transaction{
			Conditions: []platform.Condition{{Key: key, Revision: row.Revision}},
			Writes:     []platform.Write{{Key: key, Value: value}},
		})
		if last == nil {
			return next.Number, nil
		}
	}
	return 0, last
}
