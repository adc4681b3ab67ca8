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

// fencePrefix is the prefix of the rows that hold fencing numbers.
const fencePrefix = "fence/"

// Bounds of one order. An order in this file is an administrative command to a target, a
// link.Order, not one that takes a data centre out of service.
const (
	// orderTimeout is the maximum time for one order. It starts before the wait for earlier
	// orders to the target.
	orderTimeout = 5 * time.Second
	// maxOrderDelay is the maximum time between the check of the guardianship and the send.
	// A daemon that was paused for longer in between doesn't send the order.
	maxOrderDelay = 500 * time.Millisecond
	// maxFenceAttempts is the maximum number of attempts to increment a fencing number.
	maxFenceAttempts = 5
)

// The outcomes of an order, as operators receive them.
const (
	// OrderDone means that the target carried the order out.
	OrderDone = "Done"
	// OrderRejected means that the order wasn't sent or that the target rejected its fencing
	// number.
	OrderRejected = "Refused"
	// OrderUnknown means that the target may have carried the order out.
	OrderUnknown = "Unknown"
)

// orderActions are the actions that targets accept.
var orderActions = map[string]bool{"LoadModel": true, "LoadAdapter": true, "LoadVersion": true, "ChangeRole": true}

// fence is the row that holds the newest fencing number of a target and the incarnation that
// reserved it.
type fence struct {
	Number uint64
	Holder string
}

// Order implements operator.System. It sends an order to a target through the target's
// guardian, with a fencing number that no other order to the target has. It returns the
// fencing number, or 0 if none was reserved, and the outcome, or "" if the target, the action
// or the guardian is unknown.
func (d *Daemon) Order(ctx context.Context, name, action, argument string) (uint64, string, error) {
	contract, ok := d.registry.Document().Targets[name]
	if !ok {
		return 0, "", problem.New(problem.NotFound, "target %q", name)
	}
	if !orderActions[action] {
		return 0, "", problem.New(problem.Invalid, "action %q, allowed are LoadModel, LoadAdapter, LoadVersion and ChangeRole", action)
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
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
		return f.Fencing, f.Outcome, problem.New(problem.Kind(f.Failure), "guardian %s did not complete the order", m.Host)
	}
	return f.GetFencing(), f.GetOutcome(), nil
}

// handleFence sends an order that another daemon received from an operator, as the guardian
// of the target.
func (d *Daemon) handleFence(ctx context.Context, call *peerpb.Fence) *peerpb.Reply {
	reply := &peerpb.FenceReply{}
	contract, ok := d.registry.Document().Targets[call.Target]
	if !ok {
		reply.Failure = string(problem.NotFound)
	} else {
		ctx, cancel := context.WithTimeout(ctx, orderTimeout)
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

// orderAsGuardian sends the order if this daemon is the active guardian of the target. A
// target that checks fencing numbers rejects the late order of a former guardian. For a
// target that ignores them, the guardianship prevents orders of a second daemon, since it
// doesn't expire while the guardian is paused.
func (d *Daemon) orderAsGuardian(ctx context.Context, contract target.Target, action, argument string) (uint64, string, error) {
	defer d.lockOrders(contract.Name)()
	number, err := d.nextFencingNumber(ctx, contract.Name)
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

// lockOrders waits until the earlier orders to the target are complete, so that fencing
// numbers reach the target in ascending order, and returns the function that unlocks it.
func (d *Daemon) lockOrders(name string) func() {
	d.mu.Lock()
	if d.orderLocks == nil {
		d.orderLocks = map[string]*sync.Mutex{}
	}
	lock := d.orderLocks[name]
	if lock == nil {
		lock = &sync.Mutex{}
		d.orderLocks[name] = lock
	}
	d.mu.Unlock()
	lock.Lock()
	return lock.Unlock
}

// sendOrder sends the order, unless more than maxOrderDelay has passed since the
// guardianship was checked, and returns its fencing number and outcome.
func (d *Daemon) sendOrder(ctx context.Context, conn *link.Conn, contract target.Target, order link.Order, checked time.Time) (uint64, string, error) {
	if d.Clock.Since(checked) > maxOrderDelay {
		return order.Fencing, OrderRejected, problem.New(problem.Unavailable, "the daemon was paused for more than %v before the order was sent", maxOrderDelay)
	}
	rejected, err := conn.SendOrder(ctx, order)
	switch {
	case err != nil:
		return order.Fencing, OrderUnknown, err
	case rejected:
		d.log.Emit(event.OrderRefused, "Target", contract.Name, "Action", order.Action, "Fencing", order.Fencing, "Reason", "old fencing number")
		return order.Fencing, OrderRejected, nil
	default:
		d.log.Emit(event.OrderSent, "Target", contract.Name, "Action", order.Action, "Fencing", order.Fencing)
		return order.Fencing, OrderDone, nil
	}
}

// nextFencingNumber reserves the next fencing number of the target in the platform's table.
// If the response of a commit is lost, its number may stay unused.
func (d *Daemon) nextFencingNumber(ctx context.Context, name string) (uint64, error) {
	key := fencePrefix + name
	var commitErr error
	for range maxFenceAttempts {
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
		_, commitErr = d.platform.Commit(ctx, platform.Transaction{
			Conditions: []platform.Condition{{Key: key, Revision: row.Revision}},
			Writes:     []platform.Write{{Key: key, Value: value}},
		})
		if commitErr == nil {
			return next.Number, nil
		}
	}
	return 0, commitErr
}
