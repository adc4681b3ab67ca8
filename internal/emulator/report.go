package emulator

import (
	"fmt"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Report holds the outcome of a run.
type Report struct {
	Site   string
	Policy Policy
	// TotalValue is the value of all requests if each is answered within its latency
	// objective. EarnedValue is the value of the answers given. Both have the unit of
	// Class.Value.
	TotalValue  float64
	EarnedValue float64
	// Calls counts the calls to stage targets, FullCalls those that failed because the target
	// was down or its queue was full. Pieces counts the pieces in calls that ran,
	// NoMemoryPieces those that failed for lack of result memory.
	Calls          int
	FullCalls      int
	Pieces         int
	NoMemoryPieces int
	// StageTime is the time of all calls. WastedTime is the part of it that was spent for
	// requests that weren't answered.
	StageTime  time.Duration
	WastedTime time.Duration
	// TransferredBytes is the size of the results sent between data centres.
	TransferredBytes int64
	// PromptTokensRead counts the prompt tokens that engines read because they hadn't cached
	// them.
	PromptTokensRead int
	// Classes are in the order of Site.Classes.
	Classes []*ClassReport
	// Accounts holds the outcomes by account, Sizes those by the number of pieces relative to the
	// mean of the class: "small", "medium", "large", or "none" without pieces.
	Accounts map[string]*Outcome
	Sizes    map[string]*Outcome

	wastedSecondPrice        float64
	transferPricePerGB       float64
	pricePer1000PromptTokens float64
}

// ClassReport holds the outcome of a run for one class.
type ClassReport struct {
	Name string
	// Requests counts the requests that arrived, OnTime the answers within the latency
	// objective, Late the answers after it, and Unanswered the requests that were rejected,
	// found no engine or missed their deadline.
	Requests   int
	OnTime     int
	Late       int
	Unanswered int
	// FirstTokenMillis holds the times in milliseconds from arrival to the first token of
	// answered requests.
	FirstTokenMillis *hdrhistogram.Histogram
}

// Outcome counts the outcomes of a group of requests.
type Outcome struct {
	// Requests counts the requests, Served the answers, OnTime those within the latency objective.
	Requests, Served, OnTime int
}

// ServedShare returns the share of the requests that were answered.
func (o Outcome) ServedShare() float64 { return float64(o.Served) / float64(max(o.Requests, 1)) }

// OnTimeShare returns the share of the requests that were answered within the latency objective.
func (o Outcome) OnTimeShare() float64 { return float64(o.OnTime) / float64(max(o.Requests, 1)) }

// Outcome returns the outcomes of the class.
func (c ClassReport) Outcome() Outcome {
	return Outcome{Requests: c.Requests, Served: c.OnTime + c.Late, OnTime: c.OnTime}
}

// sizeOf returns the key of a request in Report.Sizes.
func sizeOf(r *request) string {
	pieces, mean := 0.0, 0.0
	for i, st := range r.class.Stages {
		pieces += float64(r.pieces[i])
		if r.pieces[i] > 0 {
			mean += st.MeanPieces
		}
	}
	switch {
	case pieces == 0:
		return "none"
	case pieces < 0.85*mean:
		return "small"
	case pieces > 1.15*mean:
		return "large"
	default:
		return "medium"
	}
}

// outcomesOf returns the groups of a request in Accounts and Sizes.
func (r *Report) outcomesOf(req *request) []*Outcome {
	var list []*Outcome
	for _, g := range []struct {
		groups map[string]*Outcome
		key    string
	}{{r.Accounts, req.account}, {r.Sizes, sizeOf(req)}} {
		if g.groups[g.key] == nil {
			g.groups[g.key] = &Outcome{}
		}
		list = append(list, g.groups[g.key])
	}
	return list
}

// countArrival adds a request that has arrived.
func (r *Report) countArrival(req *request) {
	r.class(req.class.Name).Requests++
	r.TotalValue += req.class.Value
	for _, o := range r.outcomesOf(req) {
		o.Requests++
	}
}

// maxRecordedMillis is the upper bound of FirstTokenMillis; longer times are recorded as this.
const maxRecordedMillis = 60_000

func newReport(site Site, policy Policy) *Report {
	r := &Report{
		Site:                     site.Name,
		Policy:                   policy,
		wastedSecondPrice:        site.WastedSecondPrice,
		transferPricePerGB:       site.TransferPricePerGB,
		pricePer1000PromptTokens: site.PricePer1000PromptTokens,
		Accounts:                 map[string]*Outcome{},
		Sizes:                    map[string]*Outcome{},
	}
	for _, c := range site.Classes {
		r.Classes = append(r.Classes, &ClassReport{Name: c.Name, FirstTokenMillis: hdrhistogram.New(1, maxRecordedMillis, 3)})
	}
	return r
}

// class returns the report of one class, nil for an unknown name.
func (r *Report) class(name string) *ClassReport {
	for _, c := range r.Classes {
		if c.Name == name {
			return c
		}
	}
	return nil
}

// Class returns the report of one class. For an unknown name it has no requests and no histogram.
func (r *Report) Class(name string) ClassReport {
	if c := r.class(name); c != nil {
		return *c
	}
	return ClassReport{Name: name}
}

// count adds the outcome of a request. latency is the time from its arrival to the first token and
// ignored if it isn't answered.
func (r *Report) count(req *request, latency time.Duration, answered bool) {
	c := r.class(req.class.Name)
	if answered {
		for _, o := range r.outcomesOf(req) {
			o.Served++
			if latency <= req.class.LatencyObjective {
				o.OnTime++
			}
		}
	}
	switch {
	case !answered:
		c.Unanswered++
		r.WastedTime += req.stageTime
		return
	case latency <= req.class.LatencyObjective:
		c.OnTime++
		r.EarnedValue += req.class.Value
	default:
		c.Late++
		r.EarnedValue += req.class.LateValue
	}
	if err := c.FirstTokenMillis.RecordValue(min(latency.Milliseconds(), maxRecordedMillis)); err != nil {
		panic(err) // unreachable: the value is within the bounds of the histogram
	}
}

// Credit returns EarnedValue as a share of TotalValue, from 0 to 1.
func (r *Report) Credit() float64 { return r.EarnedValue / max(r.TotalValue, 1) }

// NetCredit returns EarnedValue less the prices of the wasted time, the transferred bytes and the
// prompt tokens read, as a share of TotalValue. It is negative if the prices exceed EarnedValue.
func (r *Report) NetCredit() float64 {
	price := r.WastedTime.Seconds()*r.wastedSecondPrice + float64(r.TransferredBytes)/1e9*r.transferPricePerGB + float64(r.PromptTokensRead)/1000*r.pricePer1000PromptTokens
	return r.Credit() - price/max(r.TotalValue, 1)
}

// Attainment returns the share of the requests that were answered within the latency objective.
func (c ClassReport) Attainment() float64 { return float64(c.OnTime) / float64(max(c.Requests, 1)) }

// Table returns the report as text: a line for the run and a table of the classes. Of the headings,
// "asked" is ClassReport.Requests, "in aim" is OnTime, "refused" is Unanswered, and "full" and
// "without room" are Report.FullCalls and NoMemoryPieces.
func (r *Report) Table() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s, %s: credit %.3f, net %.3f; %d calls (%d full), %.1f pieces a call (%d without room), %.0f s of stage time (%.0f s wasted), %.2f GB between data centres, %d k tokens read\n",
		r.Site, r.Policy, r.Credit(), r.NetCredit(), r.Calls, r.FullCalls, float64(r.Pieces)/float64(max(r.Calls-r.FullCalls, 1)), r.NoMemoryPieces,
		r.StageTime.Seconds(), r.WastedTime.Seconds(), float64(r.TransferredBytes)/1e9, r.PromptTokensRead/1000)
	fmt.Fprintf(&b, "  %-16s %7s %7s %7s %7s %9s %8s %8s\n", "class", "asked", "in aim", "late", "refused", "attained", "p50 ms", "p99 ms")
	for _, c := range r.Classes {
		fmt.Fprintf(&b, "  %-16s %7d %7d %7d %7d %9.3f %8d %8d\n", c.Name, c.Requests, c.OnTime, c.Late, c.Unanswered, c.Attainment(),
			c.FirstTokenMillis.ValueAtQuantile(50), c.FirstTokenMillis.ValueAtQuantile(99))
	}
	return b.String()
}
