// Package metric holds the OpenTelemetry instruments of the daemons and the handler from which
// Prometheus scrapes them. Instruments are those of a daemon that serves pipelines,
// EntryInstruments those of the daemon of an entry host.
//
// # Usage
//
//	instruments, err := metric.New()
//	instruments.RecordRequest("gold", "", 120*time.Millisecond)
//	server.Handler = instruments.Handler()
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

// Instruments records the metrics of a daemon that serves pipelines. A nil pointer and the zero
// value record nothing.
type Instruments struct {
	registry  *prometheus.Registry
	requests  otelmetric.Int64Counter
	durations otelmetric.Float64Histogram
	costs     otelmetric.Int64Counter
	peerCalls otelmetric.Int64Counter
}

// New returns instruments that are registered in a new registry. An error means that one of them
// couldn't be registered.
func New() (*Instruments, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprometheus.New(otelprometheus.WithRegisterer(registry))
	if err != nil {
		return nil, errors.Wrap(err, "metrics exporter")
	}
	meter := sdkmetric.NewMeterProvider(sdkmetric.WithReader(exporter)).Meter("sequoiapick")
	s := &Instruments{registry: registry}
	if s.requests, err = meter.Int64Counter("SequoiapickRequests", otelmetric.WithDescription("requests ended, by tier and error kind")); err != nil {
		return nil, errors.Wrap(err, "metrics")
	}
	if s.durations, err = meter.Float64Histogram("SequoiapickRequestSeconds", otelmetric.WithUnit("s"), otelmetric.WithDescription("duration of requests by tier")); err != nil {
		return nil, errors.Wrap(err, "metrics")
	}
	if s.costs, err = meter.Int64Counter("SequoiapickStageCostMicros", otelmetric.WithDescription("cost of attempts by stage")); err != nil {
		return nil, errors.Wrap(err, "metrics")
	}
	if s.peerCalls, err = meter.Int64Counter("SequoiapickPeerCalls", otelmetric.WithDescription("calls received from other daemons, by kind")); err != nil {
		return nil, errors.Wrap(err, "metrics")
	}
	return s, nil
}

// RecordRequest records the end of a request: its tier, the kind of its failure, which is empty
// on success, and its duration.
func (s *Instruments) RecordRequest(tier, failure string, d time.Duration) {
	if s == nil || s.requests == nil {
		return
	}
	ctx := context.Background()
	s.requests.Add(ctx, 1, otelmetric.WithAttributes(attribute.String("Tier", tier), attribute.String("Failure", failure)))
	s.durations.Record(ctx, d.Seconds(), otelmetric.WithAttributes(attribute.String("Tier", tier)))
}

// RecordStageCost adds the cost of one attempt at a stage, in micros, which are millionths of the
// currency.
func (s *Instruments) RecordStageCost(stage string, micros int64) {
	if s == nil || s.costs == nil {
		return
	}
	s.costs.Add(context.Background(), micros, otelmetric.WithAttributes(attribute.String("Stage", stage)))
}

// RecordPeerCall counts one call received from another daemon.
func (s *Instruments) RecordPeerCall(kind string) {
	if s == nil || s.peerCalls == nil {
		return
	}
	s.peerCalls.Add(context.Background(), 1, otelmetric.WithAttributes(attribute.String("Kind", kind)))
}

// Handler serves the metrics in the Prometheus text format.
func (s *Instruments) Handler() fasthttp.RequestHandler {
	return fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(s.registry, promhttp.HandlerOpts{}))
}
