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

// attempt is one attempt of a client and what came of it.
type attempt struct {
	id       string
	route    string
	body     []byte
	key      string
	account  string
	deadline time.Duration
	sentAt   time.Time
	endedAt  time.Time
	daemon   *daemon
	status   int
	answer   string
	// whole says that the answer ended as complete.
	whole bool
	err   error
}

// request is an attempt that hasn't been sent yet.
func request(route string, n int) *attempt {
	a := &attempt{
		id:       fmt.Sprintf("%08x%08x", rand.Uint32(), n),
		route:    route,
		key:      "k1",
		account:  "bozi",
		deadline: 3 * time.Second,
	}
	if n%3 == 0 {
		a.key, a.account = "k2", "huvo"
	}
	a.body = bytes.Repeat([]byte(a.id), 1+n%40)
	return a
}

// send sends the attempt to a daemon over a new connection.
func (a *attempt) send(ctx context.Context, d *daemon) {
	a.daemon, a.sentAt = d, time.Now()
	defer func() { a.endedAt = time.Now() }()
	ctx, cancel := context.WithTimeout(ctx, a.deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.callers+"/"+a.route+"/2f?q="+a.id, bytes.NewReader(a.body))
	Expect(err).NotTo(HaveOccurred())
	r.Host = "h.example"
	r.Header.Set("X-Attempt-Id", a.id)
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(a.deadline.Milliseconds()))
	if a.key != "" {
		r.Header.Set("Authorization", "Bearer "+a.key)
	}
	if a.route == "resumable" || a.route == "once" {
		r.Header.Set("X-Pieces", "2,3")
		r.Header.Set("X-Piece-Key", "key-"+a.id)
		r.Header.Set("X-Model", "m")
		r.Header.Set("X-Token-Usage", "100,40")
		r.Header.Set("X-Prompt-Prefix", "5c1e07a2:60,"+a.id+":40")
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
	body, err := io.ReadAll(answer.Body)
	a.answer, a.whole, a.err = string(body), err == nil, err
}

// load sends attempts of all routes at a rate until it is stopped.
type load struct {
	fleet    *fleet
	mu       sync.Mutex
	attempts []*attempt
	group    sync.WaitGroup
	stop     context.CancelFunc
	// skip are the daemons that the balancer has taken out.
	skip map[*daemon]bool
}

// routes are those of the load.
var routes = []string{"safe", "unsafe", "resumable", "once"}

// interval is the time between two attempts of a load.
const interval = 12 * time.Millisecond

func (f *fleet) load() *load {
	ctx, cancel := contextOfSpec()
	l := &load{fleet: f, stop: cancel, skip: map[*daemon]bool{}}
	l.group.Add(1)
	go func() {
		defer l.group.Done()
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			l.begin(n)
		}
	}()
	return l
}

func (l *load) begin(n int) {
	a := request(routes[n%len(routes)], n)
	l.mu.Lock()
	var open []*daemon
	for _, d := range l.fleet.daemons {
		if !l.skip[d] {
			open = append(open, d)
		}
	}
	l.attempts = append(l.attempts, a)
	l.mu.Unlock()
	l.group.Add(1)
	go func() {
		defer l.group.Done()
		a.send(context.Background(), open[rand.IntN(len(open))])
	}()
}

// takeOut is what the balancer does with a daemon that isn't ready.
func (l *load) takeOut(d *daemon, out bool) {
	l.mu.Lock()
	l.skip[d] = out
	l.mu.Unlock()
}

// end stops the load and returns all attempts.
func (l *load) end() []*attempt {
	l.stop()
	l.group.Wait()
	return l.attempts
}

// served counts the attempts that had their whole answer, of those sent between two times.
func served(attempts []*attempt, from, to time.Time) (ok, all int) {
	for _, a := range attempts {
		if a.sentAt.Before(from) || a.sentAt.After(to) {
			continue
		}
		all++
		if a.status == 200 && a.whole {
			ok++
		}
	}
	return ok, all
}

// wholeStream is the body of a stream from its first event to its last.
func wholeStream(id string) string {
	var b strings.Builder
	for n := 1; n <= 8; n++ {
		b.WriteString(service.Event(id, n))
	}
	return b.String()
}

// check compares what clients saw with what servers ran, rule by rule.
func (f *fleet) check(attempts []*attempt) {
	byID := map[string]*attempt{}
	for _, a := range attempts {
		byID[a.id] = a
	}
	runs := map[string]int{}
	var wrong []string
	note := func(format string, args ...any) { wrong = append(wrong, fmt.Sprintf(format, args...)) }
	for _, s := range f.servers {
		for _, v := range s.Violations() {
			note("MIXED: %s: %s", s.ID, v)
		}
		for _, e := range s.Journal() {
			a := byID[e.AttemptID]
			if a == nil {
				note("UNASKED: %s ran %s, which no client sent", s.ID, e.AttemptID)
				continue
			}
			runs[e.AttemptID]++
			if e.Body != service.Hash(a.body) || e.URI != "/"+a.route+"/2f?q="+a.id {
				note("UNASKED: %s ran %s %s with another body or path", s.ID, a.route, a.id)
			}
			if e.Account != a.account || e.Key != "" {
				note("UNASKED: %s ran %s for account %q with key %q", s.ID, a.id, e.Account, e.Key)
			}
			if e.Deadline <= 0 || time.Duration(e.Deadline)*time.Millisecond > a.deadline+500*time.Millisecond {
				note("BUDGET: %s was given %d ms for %s", s.ID, e.Deadline, a.id)
			}
		}
	}
	for _, a := range attempts {
		if (a.route == "unsafe" || a.route == "once") && runs[a.id] > 1 {
			note("TWICE: %s %s ran %d times", a.route, a.id, runs[a.id])
		}
		if (a.route == "unsafe" || a.route == "once") && (a.status == 503 || a.status == 429) && runs[a.id] > 0 {
			note("REFUSED: %s %s was answered %d and ran", a.route, a.id, a.status)
		}
		if a.status != 200 || !a.whole {
			continue
		}
		want := service.Text(a.id)
		if a.route == "resumable" || a.route == "once" {
			want = wholeStream(a.id)
		}
		if a.answer != want {
			note("MIXED or ORDER: %s %s got %q", a.route, a.id, a.answer)
		}
	}
	Expect(wrong).To(BeEmpty())
}
