package datacentre_test

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/sequoiapick/sequoiapick/pkg/datacentre"
)

func TestMergeIsCommutative(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		orders := rapid.SliceOf(rapid.Custom(func(t *rapid.T) datacentre.Order {
			id := rapid.SampledFrom([]string{"1", "2", "3"}).Draw(t, "id")
			return datacentre.Order{ID: id, DataCentre: "ga-" + id[:1], Cancelled: rapid.Bool().Draw(t, "cancelled")}
		})).Draw(t, "orders")
		var one, other datacentre.Orders
		for i := range orders {
			one.Merge(orders[i])
			other.Merge(orders[len(orders)-1-i])
		}
		for _, name := range []string{"ga-1", "ga-2", "ga-3"} {
			if one.Out(name) != other.Out(name) || one.Out(name) != (len(one.InForce(name)) > 0) {
				t.Fatalf("%s: out %t and %t, in force %v", name, one.Out(name), other.Out(name), one.InForce(name))
			}
		}
	})
}

func TestUnobservedOrderStaysInForceAfterCancellation(t *testing.T) {
	var o datacentre.Orders
	o.Merge(datacentre.Order{ID: "seen", DataCentre: "ga-a"})
	o.Merge(datacentre.Order{ID: "seen", DataCentre: "ga-a", Cancelled: true})
	o.Merge(datacentre.Order{ID: "unseen", DataCentre: "ga-a"})
	o.Merge(datacentre.Order{ID: "seen", DataCentre: "ga-a"})
	if !o.Out("ga-a") {
		t.Error("the order that was not cancelled is not in force")
	}
}
