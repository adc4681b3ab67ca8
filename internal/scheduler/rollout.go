package scheduler

import (
	"time"

	"github.com/sequoiapick/sequoiapick/internal/placement"
	"github.com/sequoiapick/sequoiapick/internal/rollout"
	"github.com/sequoiapick/sequoiapick/internal/rollout/gate"
)

// chooseEngine chooses the engine of a request, in a rollout of its service one of the version that the
// gate names. In Canary the new version counts as present only if one of its engines accepts the request
// now, so that no grant is spent in vain.
func (s *Scheduler) chooseEngine(now time.Time, r *request) (placement.Engine, bool) {
	r.generation.Versions = placement.Versions{}
	split, ok := s.Rollouts.Split(r.generation.Service)
	if !ok {
		return s.selector.Choose(now, r.generation)
	}
	r.generation.Versions.Version = split.Rollout.To
	fresh, hasNew := placement.NewSide, split.NewUsable()
	tries := split.Rollout.Phase == rollout.Canary
	if tries {
		fresh = placement.CanarySide
		hasNew = s.selector.Accepts(now, r.generation, fresh)
	}
	side := s.Rollouts.Choose(r.generation.Service, len(split.Old) > 0, hasNew)
	if side == gate.NewOnly {
		r.generation.Versions.Side = fresh
		if engine, ok := s.selector.Choose(now, r.generation); ok || !tries || len(split.Old) == 0 {
			return engine, ok
		}
	}
	if side != gate.Any {
		r.generation.Versions.Side = placement.OldSide
	}
	engine, ok := s.selector.Choose(now, r.generation)
	if !ok && split.Rollout.Phase == rollout.Switching {
		r.generation.Versions.Side = fresh // it needs no grant
		return s.selector.Choose(now, r.generation)
	}
	return engine, ok
}
