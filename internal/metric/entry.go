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

// EntryInstruments records the metrics of the daemon of an entry host. A nil pointer records
// nothing.
type EntryInstruments struct {
	registry       *prometheus.Registry
	requests       otelmetric.Int64Counter
	attempts       otelmetric.Int64Counter
	jobs           otelmetric.Int64Counter
	calls          otelmetric.Int64Counter
	answerStarts   otelmetric.Float64Histogram
	stageDurations otelmetric.Float64Histogram
	callDurations  otelmetric.Float64Histogram
}

// Gauge is a metric whose values are computed whenever metrics are read.
type Gauge struct {
	Name        string
	Description string
	// Attribute is the name of the attribute whose values are the keys of Values. It is empty
	// for a gauge with a single value, whose key in Values is the empty string.
	Attribute string
	Values    map[string]float64
}

// NewEntryInstruments returns instruments that are registered in a new registry. Observe returns
// the gauges with their current values; gauges lists the same gauges, and its values are ignored.
// An error means that an instrument couldn't be registered.
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
		{&e.requests, "SequoiapickEntryRequests", "ended client requests, by route and outcome"},
		{&e.attempts, "SequoiapickEntryAttempts", "attempts at targets, by service and outcome"},
		{&e.jobs, "SequoiapickJobs", "requests whose stages this daemon scheduled, by outcome"},
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
		{&e.answerStarts, "SequoiapickEntryBeginSeconds", "time until the answer started, by route"},
		{&e.stageDurations, "SequoiapickEntryStagesSeconds", "time until all stages were done, by route"},
		{&e.callDurations, "SequoiapickStageCallSeconds", "duration of calls to stage targets, by service"},
	} {
		if *h.histogram, err = meter.Float64Histogram(h.name, otelmetric.WithUnit("s"), otelmetric.WithDescription(h.description)); err != nil {
			return nil, errors.Wrap(err, "metrics")
		}
	}
	return e, e.registerGauges(meter, gauges, observe)
}

// registerGauges registers the gauges and the callback that reads their values.
func (e *EntryInstruments) registerGauges(meter otelmetric.Meter, gauges []Gauge, observe func() []Gauge) error {
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
			for key, value := range g.Values {
				if g.Attribute == "" {
					o.ObserveFloat64(instruments[g.Name], value)
					continue
				}
				o.ObserveFloat64(instruments[g.Name], value, otelmetric.WithAttributes(attribute.String(g.Attribute, key)))
			}
		}
		return nil
	}, list...)
	return errors.Wrap(err, "metrics")
}

// RecordRequest records the end of a client's request. The durations are the times from its
// arrival until its stages were done and until its answer started; each is 0 if that didn't
// happen.
func (e *EntryInstruments) RecordRequest(route, outcome string, stagesDone, answerStarted time.Duration) {
	if e == nil {
		return
	}
	ctx := context.Background()
	byRoute := otelmetric.WithAttributes(attribute.String("Route", route))
	e.requests.Add(ctx, 1, otelmetric.WithAttributes(attribute.String("Route", route), attribute.String("Outcome", outcome)))
	if stagesDone > 0 {
		e.stageDurations.Record(ctx, stagesDone.Seconds(), byRoute)
	}
	if answerStarted > 0 {
		e.answerStarts.Record(ctx, answerStarted.Seconds(), byRoute)
	}
}

// RecordAttempt counts an attempt at a target of the service, by its outcome.
func (e *EntryInstruments) RecordAttempt(service, outcome string) {
	if e == nil {
		return
	}
	e.attempts.Add(context.Background(), 1, otelmetric.WithAttributes(attribute.String("Service", service), attribute.String("Outcome", outcome)))
}

// RecordJob counts an ended job, which is a request whose stages this daemon scheduled, by its
// outcome.
func (e *EntryInstruments) RecordJob(outcome string) {
	if e == nil {
		return
	}
	e.jobs.Add(context.Background(), 1, otelmetric.WithAttributes(attribute.String("Outcome", outcome)))
}

// RecordStageCall records the outcome and the duration of a call to a stage target.
func (e *EntryInstruments) RecordStageCall(service, outcome string, d time.Duration) {
	if e == nil {
		return
	}
	ctx := context.Background()
	e.calls.Add(ctx, 1, otelmetric.WithAttributes(attribute.String("Service", service), attribute.String("Outcome", outcome)))
	e.callDurations.Record(ctx, d.Seconds(), otelmetric.WithAttributes(attribute.String("Service", service)))
}

// Handler serves the metrics in the Prometheus text format.
func (e *EntryInstruments) Handler() fasthttp.RequestHandler {
	return fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(e.registry, promhttp.HandlerOpts{}))
}
