package placement

import "time"

// Side selects engines by whether they run the version of a rollout.
type Side int

// The sides of a rollout.
const (
	// AnySide selects all engines.
	AnySide Side = iota
	// OldSide selects the engines of other versions.
	OldSide
	// CanarySide selects the canaries of the version.
	CanarySide
	// NewSide selects all engines of the version.
	NewSide
)

// Versions restricts the engines of a request. The zero value allows all.
type Versions struct {
	// Version is the version of the rollout; it is unused with AnySide.
	Version string
	Side    Side
}

// allow reports whether the engine may get the request.
func (v Versions) allow(e Engine) bool {
	switch v.Side {
	case OldSide:
		return e.Version != v.Version
	case CanarySide:
		return e.Version == v.Version && e.Canary
	case NewSide:
		return e.Version == v.Version
	default:
		return true
	}
}

// Accepts reports whether an engine of the side may get the request now, apart from rate limits.
func (s *Selector) Accepts(now time.Time, r Request, side Side) bool {
	r.Versions.Side = side
	for _, e := range s.byService[r.Service] {
		if s.accepts(now, e, r) {
			return true
		}
	}
	return false
}
