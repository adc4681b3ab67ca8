package scheduler

import (
	"time"

	"github.com/sequoiapick/sequoiapick/internal/dispatch"
)

// idlePollInterval is the time between two checks of WaitIdle.
const idlePollInterval = 50 * time.Millisecond

// WaitIdle returns once this scheduler owns no request and no call of a handed-over request
// runs.
func (s *Scheduler) WaitIdle() {
	for {
		remaining := make(chan int, 1)
		s.post(func() { remaining <- len(s.requests) + len(s.handedOver) })
		if <-remaining == 0 {
			return
		}
		s.Clock.Sleep(idlePollInterval)
	}
}

// State returns the state of the services and the number of owned requests, or zero values if
// the loop doesn't answer within stateTimeout.
func (s *Scheduler) State() (services []dispatch.ServiceState, requests int) {
	type state struct {
		services []dispatch.ServiceState
		requests int
	}
	reply := make(chan state, 1)
	s.post(func() { reply <- state{s.planner.State(), len(s.requests)} })
	select {
	case st := <-reply:
		return st.services, st.requests
	case <-s.Clock.After(stateTimeout):
		return nil, 0
	}
}

// stateTimeout bounds the wait for a busy loop.
const stateTimeout = 500 * time.Millisecond
