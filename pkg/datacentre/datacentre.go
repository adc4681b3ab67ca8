// Package datacentre holds the orders that take data centres out of service.
//
// Orders form an observed-remove set, a replicated data type: each order to take a data
// centre out of service has a unique ID, and bringing the data centre back cancels the
// orders that are known at that time. An order that was given concurrently elsewhere
// stays in force, so a conflict leaves the data centre out of service. Merging is
// commutative and idempotent: orders may arrive in any sequence and more than once.
//
// # Usage
//
//	var o datacentre.Orders
//	o.Merge(datacentre.Order{ID: "1", DataCentre: "atl-a"})
//	o.Out("atl-a") // true
package datacentre

import "sort"

// Order takes one data centre out of service until it is cancelled.
type Order struct {
	ID         string
	DataCentre string
	// Cancelled is final: a cancelled order never takes effect again.
	Cancelled bool
}

// Orders is a set of orders; the zero value is empty.
type Orders struct {
	byID map[string]Order
	// inForce counts the orders that are not cancelled, by data centre.
	inForce map[string]int
}

// Merge adds an order or its cancellation to the set and reports whether the set changed.
func (o *Orders) Merge(order Order) bool {
	if o.byID == nil {
		o.byID = map[string]Order{}
		o.inForce = map[string]int{}
	}
	known, ok := o.byID[order.ID]
	if ok && (known.Cancelled || !order.Cancelled) {
		return false
	}
	if ok && !known.Cancelled {
		o.inForce[known.DataCentre]--
	}
	if !order.Cancelled {
		o.inForce[order.DataCentre]++
	}
	o.byID[order.ID] = order
	return true
}

// Out reports whether the data centre is out of service.
func (o *Orders) Out(dataCentre string) bool {
	return o.inForce[dataCentre] > 0
}

// InForce returns the orders for the data centre that are not cancelled, sorted by ID.
func (o *Orders) InForce(dataCentre string) []Order {
	var found []Order
	for _, order := range o.All() {
		if order.DataCentre == dataCentre && !order.Cancelled {
			found = append(found, order)
		}
	}
	return found
}

// All returns all orders including cancelled ones, sorted by ID.
func (o *Orders) All() []Order {
	all := make([]Order, 0, len(o.byID))
	for _, order := range o.byID {
		all = append(all, order)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].ID < all[j].ID })
	return all
}
