// Package metrics holds the counters and histograms of a process. Their names
// carry their units.
package metrics

import (
	"net/http"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/work"
)

const namespace = "poplarvalve"

// latencyBuckets are in seconds. They are finest around the 2.4 s within which
// urgent work must start and the round trips below it.
var latencyBuckets = []float64{.001, .002, .005, .01, .02, .05, .1, .2, .5, 1, 1.6, 2.4, 5, 10, 30, 60, 300, 1800}

// Eviction says how work was evicted.
type Eviction string

const (
	EvictThrottle   Eviction = "throttle"
	EvictCheckpoint Eviction = "checkpoint"
	EvictStop       Eviction = "stop"
)

// Direction of bytes on a link between regions, as seen by this process.
type Direction string

const (
	Sent     Direction = "sent"
	Received Direction = "received"
)

// Metrics counts what one process does. All methods may be called by several
// threads at once.
type Metrics struct {
	registry *prometheus.Registry
	latency  *prometheus.HistogramVec
	wait     *prometheus.HistogramVec
	refusals *prometheus.CounterVec
	evicted  *prometheus.CounterVec
	retries  prometheus.Counter
	appends  *prometheus.CounterVec
	between  *prometheus.CounterVec
	skipped  *prometheus.CounterVec
	lag      *prometheus.GaugeVec
	rules    prometheus.Gauge
	lease    prometheus.Gauge
	inFlight prometheus.Gauge

	// The series of the request path are looked up once, since a lookup by
	// label takes a lock.
	latencyOf [classes]prometheus.Observer
	waitOf    [classes]prometheus.Observer
	refusalOf sync.Map // fault.Kind to prometheus.Counter
}

// classes is the number of work classes.
const classes = int(work.Feed) + 1

// New returns metrics that are registered on a registry of their own.
func New() *Metrics {
	m := &Metrics{
		registry: prometheus.NewRegistry(),
		latency:  histogram("request_latency_seconds", "Time from arrival to the whole answer.", "class"),
		wait:     histogram("start_wait_seconds", "Time from arrival to the start on a backend server.", "class"),
		refusals: counter("refusals_total", "Requests and jobs refused, by kind of failure.", "kind"),
		evicted:  counter("evictions_total", "Tasks throttled, checkpointed or stopped for other work.", "action", "class"),
		retries:  prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "retries_total", Help: "Attempts after the first."}),
		appends:  counter("log_appends_total", "Appends to the platform's log.", "stream", "result"),
		between:  counter("region_link_bytes_total", "Bytes sent to and received from peers in other regions.", "region", "direction"),
		skipped:  counter("log_records_skipped_total", "Records that could not be decoded or are of a newer version.", "stream"),
		lag:      gauges("log_lag_records", "Records of the stream not yet read.", "stream"),
		rules:    gauge("rules_version", "Version of the rules in force."),
		lease:    gauge("instance_lease_held", "1 while the instance holds its own lease, else 0."),
		inFlight: gauge("requests_in_flight", "Requests that began and are not yet answered."),
	}
	m.registry.MustRegister(m.latency, m.wait, m.refusals, m.evicted, m.retries, m.appends, m.between,
		m.skipped, m.lag, m.rules, m.lease, m.inFlight,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	for i := range classes {
		class := work.Class(i).String()
		m.latencyOf[i] = m.latency.WithLabelValues(class)
		m.waitOf[i] = m.wait.WithLabelValues(class)
	}
	return m
}

func histogram(name, help string, labels ...string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace, Name: name, Help: help, Buckets: latencyBuckets}, labels)
}

func counter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func gauges(name, help string, labels ...string) *prometheus.GaugeVec {
	return prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func gauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help})
}

// Handler serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Answered counts one answered request with its latency in seconds.
func (m *Metrics) Answered(class work.Class, seconds float64) {
	m.latencyOf[class].Observe(seconds)
}

// Started counts one start with the wait before it in seconds.
func (m *Metrics) Started(class work.Class, seconds float64) {
	m.waitOf[class].Observe(seconds)
}

// Refused counts one refusal.
func (m *Metrics) Refused(kind fault.Kind) {
	known, ok := m.refusalOf.Load(kind)
	if !ok {
		known, _ = m.refusalOf.LoadOrStore(kind, m.refusals.WithLabelValues(string(kind)))
	}
	known.(prometheus.Counter).Inc()
}

// Evicted counts one eviction of a task of class.
func (m *Metrics) Evicted(action Eviction, class work.Class) {
	m.evicted.WithLabelValues(string(action), class.String()).Inc()
}

// Retried counts one attempt after the first.
func (m *Metrics) Retried() {
	m.retries.Inc()
}

// Appended counts appends to a stream: those that succeeded and those that
// failed.
func (m *Metrics) Appended(stream ident.StreamName, succeeded, failed uint64) {
	m.appends.WithLabelValues(string(stream), "ok").Add(float64(succeeded))
	m.appends.WithLabelValues(string(stream), "failed").Add(float64(failed))
}

// Crossed counts bytes on the link to another region.
func (m *Metrics) Crossed(region ident.RegionName, direction Direction, bytes uint64) {
	m.between.WithLabelValues(string(region), string(direction)).Add(float64(bytes))
}

// Skipped counts records that were not understood.
func (m *Metrics) Skipped(stream ident.StreamName, records uint64) {
	m.skipped.WithLabelValues(string(stream)).Add(float64(records))
}

// Lag sets how many records of a stream are not yet read.
func (m *Metrics) Lag(stream ident.StreamName, records uint64) {
	m.lag.WithLabelValues(string(stream)).Set(float64(records))
}

// RulesVersion sets the version of the rules in force.
func (m *Metrics) RulesVersion(version ident.Offset) {
	m.rules.Set(float64(version))
}

// Lease sets whether the instance holds its own lease.
func (m *Metrics) Lease(held bool) {
	value := 0.0
	if held {
		value = 1
	}
	m.lease.Set(value)
}

// InFlight adds delta to the number of requests in flight.
func (m *Metrics) InFlight(delta int) {
	m.inFlight.Add(float64(delta))
}
