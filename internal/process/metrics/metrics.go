// Package metrics defines the Prometheus metrics of a process. The name of each
// metric contains its unit.
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

// latencyBuckets are the upper bounds of the histogram buckets in
// seconds. They are finest around 2.4 s, within which urgent work must start,
// and for the round trip times below it.
var latencyBuckets = []float64{.001, .002, .005, .01, .02, .05, .1, .2, .5, 1, 1.6, 2.4, 5, 10, 30, 60, 300, 1800}

// Eviction is the way in which a task was evicted: throttled, checkpointed or
// stopped.
type Eviction string

const (
	EvictThrottle   Eviction = "throttle"
	EvictCheckpoint Eviction = "checkpoint"
	EvictStop       Eviction = "stop"
)

// Direction is the direction of bytes on a link between regions, as seen by
// this process.
type Direction string

const (
	Sent     Direction = "sent"
	Received Direction = "received"
)

// Metrics holds the metrics of one process. All methods are safe for concurrent
// use.
type Metrics struct {
	*ClientMetrics
	registry       *prometheus.Registry
	latency        *prometheus.HistogramVec
	startWait      *prometheus.HistogramVec
	refusals       *prometheus.CounterVec
	evictions      *prometheus.CounterVec
	retries        prometheus.Counter
	appends        *prometheus.CounterVec
	regionBytes    *prometheus.CounterVec
	skippedRecords *prometheus.CounterVec
	lag            *prometheus.GaugeVec
	rules          prometheus.Gauge
	lease          prometheus.Gauge
	inFlight       prometheus.Gauge

	// The time series used on the request path are looked up only once, because
	// a lookup by label takes a lock.
	latencyByClass [classCount]prometheus.Observer
	waitByClass    [classCount]prometheus.Observer
	refusalByKind  sync.Map // of fault.Kind to prometheus.Counter
}

// classCount is the number of work classes; work.Feed is the last of them.
const classCount = int(work.Feed) + 1

// New returns metrics that are registered with a registry of their own.
func New() *Metrics {
	m := &Metrics{
		registry:       prometheus.NewRegistry(),
		latency:        newHistogramVec("request_latency_seconds", "Time from arrival to the whole answer.", "class"),
		startWait:      newHistogramVec("start_wait_seconds", "Time from arrival to the start on a backend server.", "class"),
		refusals:       newCounterVec("refusals_total", "Requests and jobs refused, by kind of failure.", "kind"),
		evictions:      newCounterVec("evictions_total", "Tasks throttled, checkpointed or stopped for other work.", "action", "class"),
		retries:        prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "retries_total", Help: "Attempts after the first."}),
		appends:        newCounterVec("log_appends_total", "Appends to the platform's log.", "stream", "result"),
		regionBytes:    newCounterVec("region_link_bytes_total", "Bytes sent to and received from peers in other regions.", "region", "direction"),
		skippedRecords: newCounterVec("log_records_skipped_total", "Records that could not be decoded or are of a newer version.", "stream"),
		lag:            newGaugeVec("log_lag_records", "Records of the stream not yet read.", "stream"),
		rules:          newGauge("rules_version", "Version of the rules in force."),
		lease:          newGauge("instance_lease_held", "1 while the instance holds its own lease, else 0."),
		inFlight:       newGauge("requests_in_flight", "Requests that began and are not yet answered."),
	}
	m.ClientMetrics = newClientMetrics(m.registry)
	m.registry.MustRegister(m.latency, m.startWait, m.refusals, m.evictions, m.retries, m.appends, m.regionBytes,
		m.skippedRecords, m.lag, m.rules, m.lease, m.inFlight,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	for i := range classCount {
		class := work.Class(i).String()
		m.latencyByClass[i] = m.latency.WithLabelValues(class)
		m.waitByClass[i] = m.startWait.WithLabelValues(class)
	}
	return m
}

func newHistogramVec(name, help string, labels ...string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace, Name: name, Help: help, Buckets: latencyBuckets}, labels)
}

func newCounterVec(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func newGaugeVec(name, help string, labels ...string) *prometheus.GaugeVec {
	return prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func newGauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help})
}

// Handler serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// CountAnswer counts one answered request of a class with its latency in
// seconds.
func (m *Metrics) CountAnswer(class work.Class, seconds float64) {
	m.latencyByClass[class].Observe(seconds)
}

// CountStart counts one start of work of a class with the time in seconds that
// it waited for the start.
func (m *Metrics) CountStart(class work.Class, seconds float64) {
	m.waitByClass[class].Observe(seconds)
}

// CountRefusal counts one refused request or job by the kind of failure.
func (m *Metrics) CountRefusal(kind fault.Kind) {
	series, ok := m.refusalByKind.Load(kind)
	if !ok {
		series, _ = m.refusalByKind.LoadOrStore(kind, m.refusals.WithLabelValues(string(kind)))
	}
	series.(prometheus.Counter).Inc()
}

// CountEviction counts one eviction of a task of a class.
func (m *Metrics) CountEviction(action Eviction, class work.Class) {
	m.evictions.WithLabelValues(string(action), class.String()).Inc()
}

// CountRetry counts one retry, which is any attempt after the first.
func (m *Metrics) CountRetry() {
	m.retries.Inc()
}

// CountAppends adds the numbers of succeeded and failed appends to a stream.
func (m *Metrics) CountAppends(stream ident.StreamName, succeeded, failed uint64) {
	m.appends.WithLabelValues(string(stream), "ok").Add(float64(succeeded))
	m.appends.WithLabelValues(string(stream), "failed").Add(float64(failed))
}

// CountRegionBytes adds the bytes that were transferred on the link to another
// region.
func (m *Metrics) CountRegionBytes(region ident.RegionName, direction Direction, bytes uint64) {
	m.regionBytes.WithLabelValues(string(region), string(direction)).Add(float64(bytes))
}

// CountSkippedRecords adds records of a stream that could not be decoded or
// have a newer format version.
func (m *Metrics) CountSkippedRecords(stream ident.StreamName, records uint64) {
	m.skippedRecords.WithLabelValues(string(stream)).Add(float64(records))
}

// SetLag sets the number of records of a stream that are not yet read.
func (m *Metrics) SetLag(stream ident.StreamName, records uint64) {
	m.lag.WithLabelValues(string(stream)).Set(float64(records))
}

// SetRulesVersion sets the version of the rules in force.
func (m *Metrics) SetRulesVersion(version ident.Offset) {
	m.rules.Set(float64(version))
}

// SetLeaseHeld sets whether the instance currently holds its own lease.
func (m *Metrics) SetLeaseHeld(held bool) {
	value := 0.0
	if held {
		value = 1
	}
	m.lease.Set(value)
}

// AddInFlight adds delta to the number of requests in flight.
func (m *Metrics) AddInFlight(delta int) {
	m.inFlight.Add(float64(delta))
}
