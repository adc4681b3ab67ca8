// Package datacentre holds the orders that take data centres out of service.
//
// Orders form an observed-remove set: an order to take a data centre out has an ID
// of its own, and bringing the data centre in cancels exactly the orders that were
// known then. An order that was given elsewhere at the same time stays in force, so
// that out wins whenever there is doubt. Merging is commutative and idempotent, so
// orders can spread in any sequence and over any path.
//
// # Usage
//
//	var o datacentre.Orders
//	o.Merge(datacentre.Order{ID: "1", DataCentre: "atl-a"})
//	o.Out("atl-a") // true
package datacentre

import "sort"

// Order takes one data centre out until it is cancelled.
type Order struct {
	ID         string
	DataCentre string
	// Cancelled is final: an order never comes back into force.
	Cancelled bool
}

// Orders is a set of orders; the zero value is empty.
type Orders struct {
	byID map[string]Order
	// inForce counts the orders in force by data centre.
	inForce map[string]int
}

// Merge adds what is new in the order and reports whether anything was.
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

// Out reports whether an order is in force for the data centre.
func (o *Orders) Out(dataCentre string) bool {
	return o.inForce[dataCentre] > 0
}

// InForce returns the orders for the data centre that are not cancelled, by ID.
func (o *Orders) InForce(dataCentre string) []Order {
	var found []Order
	for _, order := range o.All() {
		if order.DataCentre == dataCentre && !order.Cancelled {
			found = append(found, order)
		}
	}
	return found
}

// All returns every known order, by ID.
func (o *Orders) All() []Order {
	all := make([]Order, 0, len(o.byID))
	for _, order := range o.byID {
		all = append(all, order)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].ID < all[j].ID })
	return all
}
