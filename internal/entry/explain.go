package entry

import (
	"encoding/json"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sequoiapick/sequoiapick/internal/dispatch"
	"github.com/sequoiapick/sequoiapick/internal/forward"
	"github.com/sequoiapick/sequoiapick/internal/placement"
	"github.com/sequoiapick/sequoiapick/internal/scheduler"
	"github.com/sequoiapick/sequoiapick/pkg/problem"
	"github.com/sequoiapick/sequoiapick/pkg/route"
)

// ExplainPath serves an Explanation as JSON; its query is that of ParseExplainQuery.
const ExplainPath = "/explain"

// Explanation says where a request would go now, and why.
type Explanation struct {
	// Host is this daemon and Leader the daemon that decides; if they differ, the leader must be asked.
	Host, Leader string
	// Version is the version of the configuration, OldestTable the table of which this daemon's copy was
	// confirmed OldestMillis ago, longer than all others.
	Version      int64
	OldestTable  string
	OldestMillis int64
	scheduler.Explanation
}

// ExplainQuery describes the request to explain.
type ExplainQuery struct {
	// ID is that of a request in progress; all other fields but Route then have no effect on it.
	ID, Route, Account, Model  string
	PromptTokens, OutputTokens int
	// Pieces holds the number of pieces of each stage of the route.
	Pieces []int
	// Parts are the parts at the start of the prompt.
	Parts []placement.Part
}

// ParseExplainQuery parses the query parameters id, route, account, model, prompt, output (tokens), pieces
// (numbers separated by commas) and parts (ID:TOKENS separated by commas). Its error has kind Invalid.
func ParseExplainQuery(query string) (ExplainQuery, error) {
	v, err := url.ParseQuery(query)
	if err != nil {
		return ExplainQuery{}, problem.New(problem.Invalid, "query: %v", err)
	}
	q := ExplainQuery{ID: v.Get("id"), Route: v.Get("route"), Account: v.Get("account"), Model: v.Get("model")}
	number := func(name, value string) int {
		if value == "" {
			return 0
		}
		n, parseErr := strconv.Atoi(value)
		if (parseErr != nil || n < 0) && err == nil {
			err = problem.New(problem.Invalid, "%s: %q isn't a number from 0 on", name, value)
		}
		return max(n, 0)
	}
	list := func(name string) []string {
		if v.Get(name) == "" {
			return nil
		}
		return strings.Split(v.Get(name), ",")
	}
	q.PromptTokens, q.OutputTokens = number("prompt", v.Get("prompt")), number("output", v.Get("output"))
	for _, n := range list("pieces") {
		q.Pieces = append(q.Pieces, number("pieces", n))
	}
	for _, part := range list("parts") {
		id, tokens, _ := strings.Cut(part, ":")
		q.Parts = append(q.Parts, placement.Part{ID: id, Tokens: number("parts", tokens)})
	}
	if err == nil && q.Route == "" {
		err = problem.New(problem.Invalid, "the route is missing")
	}
	return q, err
}

// explainJob returns the job that a request of the query would have if it arrived now. Its error has kind
// Invalid or NotFound.
func (q ExplainQuery) explainJob(now time.Time, table *route.Table, dataCentre, host string) (scheduler.Job, error) {
	if table == nil {
		return scheduler.Job{}, problem.New(problem.NotFound, "no configuration yet")
	}
	i := slices.IndexFunc(table.Routes, func(r route.Route) bool { return r.Name == q.Route })
	if i < 0 {
		return scheduler.Job{}, problem.New(problem.NotFound, "no route %q", q.Route)
	}
	r := &table.Routes[i]
	if len(q.Pieces) != len(r.Stages) && q.ID == "" {
		return scheduler.Job{}, problem.New(problem.Invalid, "%d numbers of pieces, the route has %d stages", len(q.Pieces), len(r.Stages))
	}
	job := scheduler.Job{ID: q.ID, DataCentre: dataCentre, Priority: r.Priority, Account: q.Account, Route: r.Name, Value: dispatch.RequestValue(r.Priority, 1)}
	for _, account := range table.Accounts {
		if account.Name == q.Account && account.HasPriority {
			job.Priority = account.Priority
			job.Value = dispatch.RequestValue(account.Priority, 1)
		}
	}
	job.SoftDeadline, job.Deadline = forward.Deadlines(now, r)
	for i, st := range r.Stages {
		if i < len(q.Pieces) {
			job.Stages = append(job.Stages, dispatch.Stage{Service: st.Service, Kind: forward.StageKind(r.Name, i), After: st.After, Pieces: q.Pieces[i], ResultBytes: st.ResultBytes})
		}
	}
	job.Generation = placement.Request{ID: q.ID, Model: q.Model, PromptTokens: q.PromptTokens, OutputTokens: q.OutputTokens, Parts: q.Parts, DataCentre: dataCentre, Host: host}
	if len(r.Backends) > 0 {
		job.Generation.Service = r.Backends[0].Service
	}
	return job, nil
}

// Explain returns where a request would go now, without sending anything. Its error has kind Invalid,
// NotFound, or Overloaded if the scheduler doesn't answer.
func (d *Daemon) Explain(q ExplainQuery) (Explanation, error) {
	job, err := q.explainJob(d.Clock.Now(), d.routeTable.Load(), d.settings.DataCentre, d.settings.Host)
	if err != nil {
		return Explanation{}, err
	}
	x := Explanation{Host: d.settings.Host, Leader: d.mesh.Leader(), Version: d.configurationVersion()}
	for name, r := range d.tableReaders {
		if _, age := r.versionAndAge(); x.OldestTable == "" || age.Milliseconds() > x.OldestMillis {
			x.OldestTable, x.OldestMillis = name, age.Milliseconds()
		}
	}
	var ok bool
	if x.Explanation, ok = d.scheduler.Explain(job); !ok {
		return Explanation{}, problem.New(problem.Overloaded, "the scheduler doesn't answer")
	}
	return x, nil
}

// serveExplanation answers a call of ExplainPath.
func (d *Daemon) serveExplanation(c *fasthttp.RequestCtx) {
	q, err := ParseExplainQuery(string(c.URI().QueryString()))
	var x Explanation
	if err == nil {
		x, err = d.Explain(q)
	}
	var body []byte
	if err == nil {
		body, err = json.Marshal(x)
	}
	if err != nil {
		c.Error(problem.Detail(err), problem.Of(err).Answer().HTTPStatus)
		return
	}
	c.SetContentType("application/json")
	c.SetBody(body)
}
