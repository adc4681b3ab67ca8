package emulator

import (
	"fmt"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Report is what a run showed.
type Report struct {
	Site   string
	Policy Policy
	// Owed is the worth of all requests, Earned that of those answered.
	Owed   float64
	Earned float64
	// Calls counts the calls to stage targets, Full those that found no place, Pieces and
	// NoRoom the pieces in them and those without room.
	Calls  int
	Full   int
	Pieces int
	NoRoom int
	// StageTime is the time of all calls, Wasted that for requests that weren't answered.
	StageTime time.Duration
	Wasted    time.Duration
	// BytesAcross is the size of the inputs fetched from other data centres.
	BytesAcross int64
	TokensRead  int
	Classes     []*ClassReport

	wastedPrice float64
	acrossPrice float64
	readPrice   float64
}

// ClassReport is what a run showed of one class.
type ClassReport struct {
	Name    string
	Asked   int
	InAim   int
	Late    int
	Refused int
	// Millis holds the times to the first token of answered requests.
	Millis *hdrhistogram.Histogram
}

// longestMillis bounds the times that are told apart.
const longestMillis = 60_000

func newReport(site Site, policy Policy) *Report {
	r := &Report{
		Site:        site.Name,
		Policy:      policy,
		wastedPrice: site.WastedPrice,
		acrossPrice: site.AcrossPrice,
		readPrice:   site.ReadPrice,
	}
	for _, c := range site.Classes {
		r.Classes = append(r.Classes, &ClassReport{Name: c.Name, Millis: hdrhistogram.New(1, longestMillis, 3)})
	}
	return r
}

func (r *Report) class(name string) *ClassReport {
	for _, c := range r.Classes {
		if c.Name == name {
			return c
		}
	}
	return nil
}

// Class returns the report of one class.
func (r *Report) Class(name string) ClassReport {
	if c := r.class(name); c != nil {
		return *c
	}
	return ClassReport{Name: name}
}

func (r *Report) count(q *request, took time.Duration, answered bool) {
	c := r.class(q.class.Name)
	switch {
	case !answered:
		c.Refused++
		r.Wasted += q.spent
		return
	case took <= q.class.Aim:
		c.InAim++
		r.Earned += q.class.Worth
	default:
		c.Late++
		r.Earned += q.class.LateWorth
	}
	if err := c.Millis.RecordValue(min(took.Milliseconds(), longestMillis)); err != nil {
		panic(err) // the value is inside the bounds of the histogram
	}
}

// Credit is the share of the worth that was earned.
func (r *Report) Credit() float64 { return r.Earned / max(r.Owed, 1) }

// Net is the credit less the prices, as a share of the worth of all requests.
func (r *Report) Net() float64 {
	price := r.Wasted.Seconds()*r.wastedPrice + float64(r.BytesAcross)/1e9*r.acrossPrice + float64(r.TokensRead)/1000*r.readPrice
	return r.Credit() - price/max(r.Owed, 1)
}

// Attainment is the share of the class's requests that were answered within the aim.
func (c ClassReport) Attainment() float64 { return float64(c.InAim) / float64(max(c.Asked, 1)) }

// Table prints the report.
func (r *Report) Table() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s, %s: credit %.3f, net %.3f; %d calls (%d full), %.1f pieces a call (%d without room), %.0f s of stage time (%.0f s wasted), %.2f GB between data centres, %d k tokens read\n",
		r.Site, r.Policy, r.Credit(), r.Net(), r.Calls, r.Full, float64(r.Pieces)/float64(max(r.Calls-r.Full, 1)), r.NoRoom,
		r.StageTime.Seconds(), r.Wasted.Seconds(), float64(r.BytesAcross)/1e9, r.TokensRead/1000)
	fmt.Fprintf(&b, "  %-16s %7s %7s %7s %7s %9s %8s %8s\n", "class", "asked", "in aim", "late", "refused", "attained", "p50 ms", "p99 ms")
	for _, c := range r.Classes {
		fmt.Fprintf(&b, "  %-16s %7d %7d %7d %7d %9.3f %8d %8d\n", c.Name, c.Asked, c.InAim, c.Late, c.Refused, c.Attainment(),
			c.Millis.ValueAtQuantile(50), c.Millis.ValueAtQuantile(99))
	}
	return b.String()
}
