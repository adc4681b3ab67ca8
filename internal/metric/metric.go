// Package metric holds the OpenTelemetry instruments of a daemon and the endpoint from
// which a scraper reads them.
//
// # Usage
//
//	set, err := metric.New()
//	set.RequestEnded("gold", "", 120*time.Millisecond)
//	server.Handler = set.Handler()
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

// Instruments is the instruments of one daemon; the zero value measures nothing.
type Instruments struct {
	registry  *prometheus.Registry
	requests  otelmetric.Int64Counter
	durations otelmetric.Float64Histogram
	costs     otelmetric.Int64Counter
	peerCalls otelmetric.Int64Counter
}

// New returns instruments with a registry of their own.
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

// RecordRequest counts one request; the failure is empty on success.
func (s *Instruments) RecordRequest(tier, failure string, d time.Duration) {
	if s == nil || s.requests == nil {
		return
	}
	ctx := context.Background()
	s.requests.Add(ctx, 1, otelmetric.WithAttributes(attribute.String("Tier", tier), attribute.String("Failure", failure)))
	s.durations.Record(ctx, d.Seconds(), otelmetric.WithAttributes(attribute.String("Tier", tier)))
}

// RecordStageCost books the cost of one attempt.
func (s *Instruments) RecordStageCost(stage string, micros int64) {
	if s == nil || s.costs == nil {
		return
	}
	s.costs.Add(context.Background(), micros, otelmetric.WithAttributes(attribute.String("Stage", stage)))
}

// RecordPeerCall counts one call of another daemon.
func (s *Instruments) RecordPeerCall(kind string) {
	if s == nil || s.peerCalls == nil {
		return
	}
	s.peerCalls.Add(context.Background(), 1, otelmetric.WithAttributes(attribute.String("Kind", kind)))
}

// Handler serves the metrics in the form that scrapers read.
func (s *Instruments) Handler() fasthttp.RequestHandler {
	return fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(s.registry, promhttp.HandlerOpts{}))
}
