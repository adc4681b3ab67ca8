package entry

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sequoiapick/sequoiapick/internal/standin/service"
)

// attempt is one request of a client and its result.
type attempt struct {
	id string
	// route is the name of the route.
	route string
	// query is that of the URI, by default the ID.
	query string
	body  []byte
	// key is the API key, and account the tenant that it belongs to.
	key     string
	account string
	// deadline is the time from sending within which the client wants the answer.
	deadline time.Duration
	// sharedParts are the parts of the prompt before the attempt's own one, as in X-Prompt-Prefix.
	sharedParts string
	sentAt      time.Time
	endedAt     time.Time
	daemon      *daemon
	// status is the HTTP status, or 0 if there was no answer.
	status int
	answer string
	// complete says that the answer was read to its end without an error.
	complete bool
	err      error
}

// newAttempt returns an attempt that hasn't been sent yet. The number n decides its
// account and the length of its body.
func newAttempt(route string, n int) *attempt {
	id := fmt.Sprintf("%08x%08x", rand.Uint32(), n)
	a := &attempt{
		id:       id,
		query:    "q=" + id,
		route:    route,
		key:      "k1",
		account:  "bozi",
		deadline: 3 * time.Second,

		sharedParts: "5c1e07a2:60",
	}
	if n%3 == 0 {
		a.key, a.account = "k2", "huvo"
	}
	a.body = bytes.Repeat([]byte(a.id), 1+n%40)
	return a
}

// send sends the attempt to a daemon over a new connection and records its result.
func (a *attempt) send(ctx context.Context, d *daemon) {
	a.daemon, a.sentAt = d, time.Now()
	defer func() { a.endedAt = time.Now() }()
	ctx, cancel := context.WithTimeout(ctx, a.deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.frontAddress+"/"+a.route+"/2f?"+a.query, bytes.NewReader(a.body))
	Expect(err).NotTo(HaveOccurred())
	r.Host = "h.example"
	r.Header.Set("X-Attempt-Id", a.id)
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(a.deadline.Milliseconds()))
	if a.key != "" {
		r.Header.Set("Authorization", "Bearer "+a.key)
	}
	if a.route == "resumable" || a.route == "once" {
		// 2 pieces of the stage billing and 3 of portal, for a prompt of 100 tokens and an answer
		// of 40.
		r.Header.Set("X-Pieces", "2,3")
		r.Header.Set("X-Piece-Key", "key-"+a.id)
		r.Header.Set("X-Model", "m")
		r.Header.Set("X-Token-Usage", "100,40")
		r.Header.Set("X-Prompt-Prefix", a.sharedParts+","+a.id+":40")
	}
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	answer, err := transport.RoundTrip(r)
	if err != nil {
		a.err = err
		return
	}
	defer answer.Body.Close()
	a.status = answer.StatusCode
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxClientBytes))
	a.answer, a.complete, a.err = string(body), err == nil && len(body) < maxClientBytes, err
}

// maxClientBytes is the size above which a client gives an answer up.
const maxClientBytes = 8 << 20

// loadGenerator sends attempts on all routes at a constant rate until end is called.
type loadGenerator struct {
	fleet    *fleet
	mu       sync.Mutex
	attempts []*attempt
	group    sync.WaitGroup
	cancel   context.CancelFunc
	// excluded are the daemons that get no attempts, as a load balancer excludes those that
	// aren't ready.
	excluded map[*daemon]bool
}

// routes are the routes that the load generator uses in turn.
var routes = []string{"safe", "unsafe", "resumable", "once"}

// sendInterval is the time between two attempts of a load generator.
const sendInterval = 12 * time.Millisecond

// startLoad starts a load generator for the fleet.
func (f *fleet) startLoad() *loadGenerator {
	ctx, cancel := specContext()
	l := &loadGenerator{fleet: f, cancel: cancel, excluded: map[*daemon]bool{}}
	l.group.Add(1)
	go func() {
		defer l.group.Done()
		ticker := time.NewTicker(sendInterval)
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			l.start(n)
		}
	}()
	return l
}

// start sends attempt n to a random daemon that isn't excluded.
func (l *loadGenerator) start(n int) {
	a := newAttempt(routes[n%len(routes)], n)
	l.mu.Lock()
	var candidates []*daemon
	for _, d := range l.fleet.daemons {
		if !l.excluded[d] {
			candidates = append(candidates, d)
		}
	}
	l.attempts = append(l.attempts, a)
	l.mu.Unlock()
	l.group.Add(1)
	go func() {
		defer l.group.Done()
		a.send(context.Background(), candidates[rand.IntN(len(candidates))])
	}()
}

// setExcluded excludes a daemon from further attempts, or includes it again.
func (l *loadGenerator) setExcluded(d *daemon, excluded bool) {
	l.mu.Lock()
	l.excluded[d] = excluded
	l.mu.Unlock()
}

// end stops the load, waits for the open attempts and returns all attempts.
func (l *loadGenerator) end() []*attempt {
	l.cancel()
	l.group.Wait()
	return l.attempts
}

// served counts the attempts that were sent between two times: ok is the number of those
// that got a complete answer with status 200.
func served(attempts []*attempt, from, to time.Time) (ok, all int) {
	for _, a := range attempts {
		if a.sentAt.Before(from) || a.sentAt.After(to) {
			continue
		}
		all++
		if a.status == 200 && a.complete {
			ok++
		}
	}
	return ok, all
}

// completeStream returns the body of a stream with all 8 events, the number in the profile of the
// llm servers.
func completeStream(id string) string {
	var b strings.Builder
	for n := 1; n <= 8; n++ {
		b.WriteString(service.Event(id, n))
	}
	return b.String()
}

// checkRules compares what the clients received with what the servers ran and fails the
// spec if a rule of the package comment is violated.
func (f *fleet) checkRules(attempts []*attempt) {
	byID := map[string]*attempt{}
	for _, a := range attempts {
		byID[a.id] = a
	}
	runs := map[string]int{}
	var violations []string
	addViolation := func(format string, args ...any) { violations = append(violations, fmt.Sprintf(format, args...)) }
	for _, s := range f.servers {
		for _, v := range s.Violations() {
			addViolation("MIXED: %s: %s", s.ID, v)
		}
		for _, e := range s.Journal() {
			a := byID[e.AttemptID]
			if a == nil {
				addViolation("UNASKED: %s ran %s, which no client sent", s.ID, e.AttemptID)
				continue
			}
			runs[e.AttemptID]++
			if e.Body != service.Hash(a.body) || e.URI != "/"+a.route+"/2f?"+a.query {
				addViolation("UNASKED: %s ran %s %s with another body or path", s.ID, a.route, a.id)
			}
			if e.Account != a.account || e.Key != "" {
				addViolation("UNASKED: %s ran %s for account %q with key %q", s.ID, a.id, e.Account, e.Key)
			}
			if e.Deadline <= 0 || time.Duration(e.Deadline)*time.Millisecond > a.deadline+500*time.Millisecond {
				addViolation("BUDGET: %s was given %d ms for %s", s.ID, e.Deadline, a.id)
			}
		}
	}
	for _, a := range attempts {
		if (a.route == "unsafe" || a.route == "once") && runs[a.id] > 1 {
			addViolation("TWICE: %s %s ran %d times", a.route, a.id, runs[a.id])
		}
		if (a.route == "unsafe" || a.route == "once") && (a.status == 503 || a.status == 429) && runs[a.id] > 0 {
			addViolation("REFUSED: %s %s was answered %d and ran", a.route, a.id, a.status)
		}
		if a.status != 200 || !a.complete {
			continue
		}
		want := service.Text(a.id)
		if a.route == "resumable" || a.route == "once" {
			want = completeStream(a.id)
		}
		if a.answer != want {
			addViolation("MIXED or ORDER: %s %s got %q", a.route, a.id, a.answer)
		}
	}
	Expect(violations).To(BeEmpty())
}
