package metric

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
	"go.opentelemetry.io/otel/attribute"
	otelprometheus "go.opentelemetry.io/otel/exporters/prometheus"
	otelmetric "go.opentelemetry.io/otel/metric"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"
)

// EntryInstruments is the instruments of an entry host; a nil one measures nothing.
type EntryInstruments struct {
	registry   *prometheus.Registry
	requests   otelmetric.Int64Counter
	attempts   otelmetric.Int64Counter
	jobs       otelmetric.Int64Counter
	calls      otelmetric.Int64Counter
	beginnings otelmetric.Float64Histogram
	stages     otelmetric.Float64Histogram
	durations  otelmetric.Float64Histogram
}

// Gauge is one value that is read when metrics are.
type Gauge struct {
	Name        string
	Description string
	// Attribute names what Values are told apart by; empty for a single value under "".
	Attribute string
	Values    map[string]float64
}

// NewEntryInstruments returns instruments with a registry of their own. Gauges are those that observe
// returns, their values don't matter.
func NewEntryInstruments(gauges []Gauge, observe func() []Gauge) (*EntryInstruments, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprometheus.New(otelprometheus.WithRegisterer(registry))
	if err != nil {
		return nil, errors.Wrap(err, "metrics exporter")
	}
	meter := sdkmetric.NewMeterProvider(sdkmetric.WithReader(exporter)).Meter("sequoiapick")
	e := &EntryInstruments{registry: registry}
	for _, c := range []struct {
		counter           *otelmetric.Int64Counter
		name, description string
	}{
		{&e.requests, "SequoiapickEntryRequests", "requests of clients that ended, by route and outcome"},
		{&e.attempts, "SequoiapickEntryAttempts", "sends to targets, by service and outcome"},
		{&e.jobs, "SequoiapickJobs", "requests whose stages were decided on here, by outcome"},
		{&e.calls, "SequoiapickStageCalls", "calls to stage targets, by service and outcome"},
	} {
		if *c.counter, err = meter.Int64Counter(c.name, otelmetric.WithDescription(c.description)); err != nil {
			return nil, errors.Wrap(err, "metrics")
		}
	}
	for _, h := range []struct {
		histogram         *otelmetric.Float64Histogram
		name, description string
	}{
		{&e.beginnings, "SequoiapickEntryBeginSeconds", "time until the answer began, by route"},
		{&e.stages, "SequoiapickEntryStagesSeconds", "time until the stages were done, by route"},
		{&e.durations, "SequoiapickStageCallSeconds", "duration of calls to stage targets, by service"},
	} {
		if *h.histogram, err = meter.Float64Histogram(h.name, otelmetric.WithUnit("s"), otelmetric.WithDescription(h.description)); err != nil {
			return nil, errors.Wrap(err, "metrics")
		}
	}
	return e, e.observe(meter, gauges, observe)
}

// observe registers the gauges.
func (e *EntryInstruments) observe(meter otelmetric.Meter, gauges []Gauge, observe func() []Gauge) error {
	instruments := map[string]otelmetric.Float64Observable{}
	var list []otelmetric.Observable
	for _, g := range gauges {
		instrument, err := meter.Float64ObservableGauge(g.Name, otelmetric.WithDescription(g.Description))
		if err != nil {
			return errors.Wrap(err, "metrics")
		}
		instruments[g.Name] = instrument
		list = append(list, instrument)
	}
	_, err := meter.RegisterCallback(func(_ context.Context, o otelmetric.Observer) error {
		for _, g := range observe() {
			for value, number := range g.Values {
				if g.Attribute == "" {
					o.ObserveFloat64(instruments[g.Name], number)
					continue
				}
				o.ObserveFloat64(instruments[g.Name], number, otelmetric.WithAttributes(attribute.String(g.Attribute, value)))
			}
		}
		return nil
	}, list...)
	return errors.Wrap(err, "metrics")
}

// RecordRequest counts a client's request; began and staged are 0 if that didn't happen.
func (e *EntryInstruments) RecordRequest(route, outcome string, staged, began time.Duration) {
	if e == nil {
		return
	}
	ctx := context.Background()
	byRoute := otelmetric.WithAttributes(attribute.String("Route", route))
	e.requests.Add(ctx, 1, otelmetric.WithAttributes(attribute.String("Route", route), attribute.String("Outcome", outcome)))
	if staged > 0 {
		e.stages.Record(ctx, staged.Seconds(), byRoute)
	}
	if began > 0 {
		e.beginnings.Record(ctx, began.Seconds(), byRoute)
	}
}

// RecordAttempt counts a send to a target.
func (e *EntryInstruments) RecordAttempt(service, outcome string) {
	if e == nil {
		return
	}
	e.attempts.Add(context.Background(), 1, otelmetric.WithAttributes(attribute.String("Service", service), attribute.String("Outcome", outcome)))
}

// RecordJob counts a request whose stages were decided on.
func (e *EntryInstruments) RecordJob(outcome string) {
	if e == nil {
		return
	}
	e.jobs.Add(context.Background(), 1, otelmetric.WithAttributes(attribute.String("Outcome", outcome)))
}

// RecordStageCall counts a call to a stage target.
func (e *EntryInstruments) RecordStageCall(service, outcome string, d time.Duration) {
	if e == nil {
		return
	}
	ctx := context.Background()
	e.calls.Add(ctx, 1, otelmetric.WithAttributes(attribute.String("Service", service), attribute.String("Outcome", outcome)))
	e.durations.Record(ctx, d.Seconds(), otelmetric.WithAttributes(attribute.String("Service", service)))
}

// Handler serves the metrics in the form that scrapers read.
func (e *EntryInstruments) Handler() fasthttp.RequestHandler {
	return fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(e.registry, promhttp.HandlerOpts{}))
}
