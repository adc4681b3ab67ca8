package registry

import (
	"bytes"
	"context"
	"encoding/json"

	"github.com/google/uuid"

	"github.com/sequoiapick/sequoiapick/internal/event"
	"github.com/sequoiapick/sequoiapick/internal/platform"
	"github.com/sequoiapick/sequoiapick/pkg/datacentre"
	"github.com/sequoiapick/sequoiapick/pkg/problem"
)

// DataCentreOut reports whether an order keeps the data centre out of service, so that it
// takes no new work.
func (r *Registry) DataCentreOut(dataCentre string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.orders.Out(dataCentre)
}

// Orders returns every known order, cancelled ones included.
func (r *Registry) Orders() []datacentre.Order {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.orders.All()
}

// ApplyOrder merges an order from another daemon or the table into the known ones, and
// reports whether that changed them.
func (r *Registry) ApplyOrder(order datacentre.Order) bool {
	r.mu.Lock()
	wasOut := r.orders.Out(order.DataCentre)
	changed := r.orders.Merge(order)
	isOut := r.orders.Out(order.DataCentre)
	r.mu.Unlock()
	if !changed {
		return false
	}
	if isOut != wasOut {
		e := event.DataCentreIn
		if isOut {
			e = event.DataCentreOut
		}
		r.Log.Emit(e, "DataCentre", order.DataCentre, "Order", order.ID)
	}
	r.notifyChange()
	return true
}

// TakeOut creates an order that takes the data centre out of service. The order is in
// force on this daemon at once. Durable reports whether it was saved to the platform's
// table; if not, a later Sync saves it.
func (r *Registry) TakeOut(ctx context.Context, dataCentre string) (id string, durable bool) {
	order := datacentre.Order{ID: uuid.NewString(), DataCentre: dataCentre}
	r.mu.Lock()
	if r.unsavedOrders == nil {
		r.unsavedOrders = map[string]datacentre.Order{}
	}
	r.unsavedOrders[order.ID] = order
	r.mu.Unlock()
	r.ApplyOrder(order)
	return order.ID, r.saveOrders(ctx) == nil
}

// BringIn cancels the orders that keep the data centre out, after reading the table. The
// cancellations take effect here only after they are saved to the platform's table. Orders
// that neither this daemon nor the table knows yet stay in force. If there is no order to
// cancel, it returns a NotFound error.
func (r *Registry) BringIn(ctx context.Context, dataCentre string) error {
	if err := r.syncOrders(ctx); err != nil {
		return err
	}
	r.mu.Lock()
	cancelled := r.orders.InForce(dataCentre)
	r.mu.Unlock()
	if len(cancelled) == 0 {
		return problem.New(problem.NotFound, "no order keeps data centre %q out", dataCentre)
	}
	var tx platform.Transaction
	for i := range cancelled {
		cancelled[i].Cancelled = true
		write, err := orderWrite(cancelled[i])
		if err != nil {
			return err
		}
		tx.Writes = append(tx.Writes, write)
	}
	if _, err := r.Table.Commit(ctx, tx); err != nil {
		return err
	}
	for _, order := range cancelled {
		r.ApplyOrder(order)
	}
	return nil
}

// syncOrders saves the orders that the table lacks and applies those that it holds.
func (r *Registry) syncOrders(ctx context.Context) error {
	if err := r.saveOrders(ctx); err != nil {
		return err
	}
	rows, err := r.Table.Scan(ctx, orderPrefix, "", maxOrders)
	if err != nil {
		return err
	}
	for _, row := range rows {
		var order datacentre.Order
		if err := json.Unmarshal(row.Value, &order); err != nil {
			return problem.New(problem.Internal, "order row: %v", err)
		}
		r.ApplyOrder(order)
	}
	return r.rewriteOrders(ctx, rows)
}

// rewriteOrders writes the known orders again that the rows lack or list as not cancelled, once after
// each restore of the table from an older copy.
func (r *Registry) rewriteOrders(ctx context.Context, rows []platform.Row) error {
	era, _ := r.Table.Era()
	if len(rows) > 0 {
		era = rows[0].Era // the table may have been restored since
	}
	r.mu.Lock()
	due := era > r.ordersEra
	r.mu.Unlock()
	if !due {
		return nil
	}
	listed := map[string]platform.Row{}
	for _, row := range rows {
		listed[row.Key] = row
	}
	for _, order := range r.Orders() {
		write, err := orderWrite(order)
		if err != nil {
			return err
		}
		row := listed[write.Key]
		if row.Revision > 0 && (bytes.Equal(row.Value, write.Value) || !order.Cancelled) {
			continue
		}
		tx := platform.Transaction{Conditions: []platform.Condition{{Key: write.Key, Revision: row.Revision}}, Writes: []platform.Write{write}}
		if _, err := r.Table.Commit(ctx, tx); err != nil && problem.Of(err) != problem.Conflict {
			return err
		}
	}
	r.mu.Lock()
	r.ordersEra = max(r.ordersEra, era)
	r.mu.Unlock()
	return nil
}

// saveOrders inserts the orders that aren't saved yet. It never overwrites a row, so that
// a late write can't undo a cancellation; a Conflict means that the row exists already.
func (r *Registry) saveOrders(ctx context.Context) error {
	r.mu.Lock()
	var pending []datacentre.Order
	for _, order := range r.unsavedOrders {
		pending = append(pending, order)
	}
	r.mu.Unlock()
	for _, order := range pending {
		write, err := orderWrite(order)
		if err != nil {
			return err
		}
		tx := platform.Transaction{
			Conditions: []platform.Condition{{Key: write.Key}},
			Writes:     []platform.Write{write},
		}
		if _, err := r.Table.Commit(ctx, tx); err != nil && problem.Of(err) != problem.Conflict {
			return err
		}
		r.mu.Lock()
		delete(r.unsavedOrders, order.ID)
		r.mu.Unlock()
	}
	return nil
}

// orderWrite returns the write of the order's row.
func orderWrite(order datacentre.Order) (platform.Write, error) {
	value, err := json.Marshal(order)
	if err != nil {
		return platform.Write{}, problem.New(problem.Internal, "encode order: %v", err)
	}
	return platform.Write{Key: orderPrefix + order.ID, Value: value}, nil
}
