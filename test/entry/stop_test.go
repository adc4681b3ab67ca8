package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sequoiapick/sequoiapick/internal/standin/service"
)

// stopDeadlines are the deadlines of requests during a stop; the last is longer than the grace.
var stopDeadlines = []time.Duration{2 * time.Second, 4500 * time.Millisecond, 9 * time.Second}

// stopRequest is a request on a connection that is open when a stop begins.
type stopRequest struct {
	*attempt
	// completeAt is the time after the signal at which the last byte of the request is sent; the first is sent
	// beginAt after the signal.
	beginAt, completeAt time.Duration
}

// run opens the connection, reports that to ready, and sends the request after the time of the signal was received.
func (r *stopRequest) run(d *daemon, ready *sync.WaitGroup, signalled <-chan time.Time) {
	conn, err := net.Dial("tcp", d.frontAddress)
	ready.Done()
	Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	start := <-signalled
	head := fmt.Sprintf("POST /%s/2f HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n"+
		"X-Pieces: 2,3\r\nX-Piece-Key: key-%s\r\nX-Model: m\r\nX-Token-Usage: 100,40\r\nX-Prompt-Prefix: %s:40\r\nContent-Length: 2\r\n\r\n",
		r.route, r.id, r.deadline.Milliseconds(), r.key, r.id, r.id)
	time.Sleep(time.Until(start.Add(r.beginAt)))
	r.sentAt = time.Now()
	if _, r.err = io.WriteString(conn, head+"a"); r.err != nil {
		return
	}
	time.Sleep(time.Until(start.Add(r.completeAt)))
	if _, r.err = io.WriteString(conn, "b"); r.err != nil {
		return
	}
	_ = conn.SetReadDeadline(time.Now().Add(r.deadline + 3*time.Second))
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		r.err, r.endedAt = err, time.Now()
		return
	}
	body, err := io.ReadAll(answer.Body)
	r.status, r.answer, r.complete, r.err, r.endedAt = answer.StatusCode, string(body), err == nil, err, time.Now()
}

// fault returns what is wrong with the end of the request, empty if nothing is: it is answered whole, refused
// before it is passed on by a refusal that is true, or its connection is closed unread. A request that reaches
// its deadline may be cut off.
func (r *stopRequest) fault(ran map[string]bool) string {
	const slack = 200 * time.Millisecond
	switch {
	case r.status == 200 && r.complete:
		if r.answer != wholeAnswer(r.route, r.id) {
			return "has another body"
		}
		return ""
	case r.status == 503 && r.complete:
		if ran[r.id] {
			return "is refused and has run"
		}
		return ""
	case r.status == 0 && !ran[r.id]:
		return ""
	case r.endedAt.Sub(r.sentAt) >= r.deadline-slack:
		return ""
	default:
		return fmt.Sprintf("is cut off (ran %v)", ran[r.id])
	}
}

// wholeAnswer returns the body of the answer to an attempt on a route.
func wholeAnswer(route, id string) string {
	if route == "safe" || route == "unsafe" {
		return service.Text(id)
	}
	return completeStream(id)
}

var _ = Describe("an entry host", func() {
	// grace is that of the fleet's settings.
	const grace = 8 * time.Second

	for _, work := range []time.Duration{50 * time.Millisecond, 1500 * time.Millisecond, 2800 * time.Millisecond} {
		It(fmt.Sprintf("LOST: cuts off no request that arrives during a planned stop, at targets that need %v", work), func() {
			f := newFleet(1)
			d := f.daemons[0]
			for _, r := range f.routes {
				r["timeoutMs"] = stopDeadlines[len(stopDeadlines)-1].Milliseconds()
			}
			f.configure()
			time.Sleep(time.Second) // the daemon has the configuration
			for _, s := range f.servers {
				switch s.serviceName {
				case "desk":
					s.Profile.Work, s.Profile.Slots = work, 0
				case "llm":
					s.Profile.Gap, s.Profile.Slots = 2*work/time.Duration(s.Profile.Events), 0
				}
			}
			var moments []time.Duration
			for at := time.Duration(0); at < grace; at += 100 * time.Millisecond {
				moments = append(moments, at)
			}
			for at := grace - 700*time.Millisecond; at < grace-200*time.Millisecond; at += 10 * time.Millisecond {
				moments = append(moments, at)
			}
			var requests []*stopRequest
			for n, at := range moments {
				for _, route := range []string{"safe", "unsafe", "resumable", "once"} {
					if n%4 != 0 && (route == "resumable" || route == "once") {
						continue // the stages of the fleet serve fewer streams
					}
					r := &stopRequest{attempt: newAttempt(route, 1), completeAt: at}
					r.deadline = stopDeadlines[len(requests)%len(stopDeadlines)]
					// Idle connections are closed after 2.5 s; a body may take until later.
					r.beginAt = min(at, 2200*time.Millisecond)
					requests = append(requests, r)
				}
			}
			var ready, ended sync.WaitGroup
			signalled := make(chan time.Time)
			for _, r := range requests {
				ready.Add(1)
				ended.Add(1)
				go func() {
					defer GinkgoRecover()
					defer ended.Done()
					r.run(d, &ready, signalled)
				}()
			}
			ready.Wait()
			time.Sleep(200 * time.Millisecond) // the daemon has accepted the connections
			d.signal(syscall.SIGTERM)
			now := time.Now()
			for range requests {
				signalled <- now
			}
			Expect(d.command.Wait()).To(Succeed())
			Expect(time.Since(now)).To(BeNumerically("<", grace))
			ended.Wait()
			ran := map[string]bool{}
			for _, s := range append(f.serversOf("desk"), f.serversOf("llm")...) {
				for _, e := range s.Journal() {
					ran[e.AttemptID] = true
				}
			}
			var faults []string
			counts := map[int]int{}
			for _, r := range requests {
				counts[r.status]++
				if fault := r.fault(ran); fault != "" {
					faults = append(faults, fmt.Sprintf("%s request with deadline %v, read %v after the signal, %s: status %d, complete %v, %v", r.route, r.deadline, r.completeAt, fault, r.status, r.complete, r.err))
				}
			}
			Expect(counts[200]).To(BeNumerically(">", 10))
			Expect(faults).To(BeEmpty(), "%d of %d requests, statuses %v:\n%s", len(faults), len(requests), counts, strings.Join(faults, "\n"))
		})
	}
})
