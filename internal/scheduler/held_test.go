package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/sequoiapick/sequoiapick/internal/scheduler"
	"github.com/sequoiapick/sequoiapick/internal/targetlimit"
)

// TestLimitedEngineServesUrgentRequestsFirst has the only engine name a limit of one request a second. The urgent
// request that comes last goes first, and what would wait beyond its deadline is rejected at once.
func TestLimitedEngineServesUrgentRequestsFirst(t *testing.T) {
	n, _ := start(t)
	leader := n.schedulers["a"]
	leader.Limits.Record(targetlimit.Notice{Target: "e", PerSecond: 1, At: time.Now()})
	submit := func(id string, priority int) *scheduler.Ticket {
		j := job(id)
		j.Stages, j.Plain, j.Priority = nil, true, priority
		j.Deadline = time.Now().Add(2500 * time.Millisecond)
		return n.schedulers["b"].Submit(j)
	}
	first := submit("first", 1)
	assigned(t, first)
	var tickets []*scheduler.Ticket
	for i := range 4 {
		tickets = append(tickets, submit(fmt.Sprintf("later-%d", i), 1))
		time.Sleep(10 * time.Millisecond)
	}
	rejections := 0
	for _, ticket := range tickets {
		select {
		case u := <-ticket.Updates:
			r, ok := u.(scheduler.Rejected)
			if !ok || r.RetryAfter < time.Second || r.RetryAfter > 4*time.Second {
				t.Errorf("got %+v, want a rejection with the time at which the limit allows another request", u)
			}
			rejections++
		case <-time.After(50 * time.Millisecond):
		}
	}
	if rejections != 2 {
		t.Errorf("%d of 4 requests were rejected at once, want the 2 for which there is no time", rejections)
	}
	urgent := submit("urgent", 0)
	assigned(t, urgent)
	select {
	case u := <-tickets[0].Updates:
		t.Errorf("got %+v before the urgent request", u)
	default:
	}
	assigned(t, tickets[0])
}
