package placement

import (
	"time"
)

// A busy engine may tell a daemon for how long it wants no requests of that daemon. Requests that
// other daemons hold can still be sent there, so that the engine isn't closed but held for one daemon.

// hold identifies the daemon that an engine wants no requests of, and a start of the engine.
type hold struct {
	host        string
	engine      string
	incarnation int64
}

// holds maps holds to their ends.
type holds map[hold]time.Time

// until returns when the engine takes requests of the daemon on the host again, or the zero time if it
// does so now.
func (h holds) until(host string, e *engine) time.Time {
	if len(h) == 0 {
		return time.Time{}
	}
	return h[hold{host, e.ID, e.Incarnation}]
}

// Hold records that a start of an engine wants no requests of the daemon on the host for a time.
func (s *Selector) Hold(now time.Time, host, engine string, incarnation int64, wait time.Duration) {
	for key, until := range s.holds {
		if !now.Before(until) {
			delete(s.holds, key)
		}
	}
	if s.holds == nil {
		s.holds = holds{}
	}
	key := hold{host, engine, incarnation}
	if until := now.Add(wait); until.After(s.holds[key]) {
		s.holds[key] = until
	}
}

// HeldFor returns the time until the first engine takes requests like r of its daemon again. It returns
// false unless all engines that serve them are held for it.
func (s *Selector) HeldFor(now time.Time, r Request) (wait time.Duration, allHeld bool) {
	r.Exclude = nil // another attempt of the client may be sent to any engine
	for _, e := range s.byService[r.Service] {
		if !e.serves(r) {
			continue
		}
		until := s.holds.until(r.Host, e)
		if !now.Before(until) {
			return 0, false
		}
		if left := until.Sub(now); !allHeld || left < wait {
			wait, allHeld = left, true
		}
	}
	return wait, allHeld
}
