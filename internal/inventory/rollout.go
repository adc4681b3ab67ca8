package inventory

// serviceVersion is a version of the targets of one service.
type serviceVersion struct{ service, version string }

// SetWithheld sets whether the targets of a version of a service are withheld, see Target.Withheld.
func (inv *Inventory) SetWithheld(service, version string, withheld bool) {
	inv.mu.Lock()
	defer inv.mu.Unlock()
	key := serviceVersion{service, version}
	if inv.withheld[key] == withheld {
		return
	}
	if inv.withheld == nil {
		inv.withheld = map[serviceVersion]bool{}
	}
	inv.version++
	if withheld {
		inv.withheld[key] = true
		return
	}
	delete(inv.withheld, key)
}
