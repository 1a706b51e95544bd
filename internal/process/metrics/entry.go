package metrics

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Entry counts what one entry instance does for jobs. All methods may be
// called by several threads.
type Entry struct {
	registry *prometheus.Registry
	answers  [maxOperations][maxVerdicts]prometheus.Counter
	latency  [maxOperations]prometheus.Observer
	stored   prometheus.Histogram
	starts   prometheus.Counter
	stops    prometheus.Counter
	paces    prometheus.Counter
	dropped  prometheus.Counter
}

const (
	maxOperations = 5
	maxVerdicts   = 6
)

var (
	operationNames = [maxOperations]string{"none", "submit", "status", "cancel", "pending"}
	verdictNames   = [maxVerdicts]string{"unknown", "ok", "no_queue", "absent", "not_run", "bad_request"}
)

// NewEntry returns counters that are registered on a registry of their own.
func NewEntry() *Entry {
	e := &Entry{
		registry: prometheus.NewRegistry(),
		stored: prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: namespace, Name: "append_seconds",
			Help: "Time to store one batch of records.", Buckets: latencyBuckets}),
		starts:  single("task_starts_total", "Start orders sent to backend servers."),
		stops:   single("task_stops_total", "Stop orders sent to backend servers."),
		paces:   single("task_paces_total", "Pace orders sent to backend servers."),
		dropped: single("log_lines_dropped_total", "Log lines left out because there were too many."),
	}
	answers := counter("job_requests_total", "Requests about jobs, by how they were answered.", "operation", "verdict")
	latency := histogram("job_request_seconds", "Time from arrival to the answer.", "operation")
	for operation, name := range operationNames {
		e.latency[operation] = latency.WithLabelValues(name)
		for verdict, word := range verdictNames {
			e.answers[operation][verdict] = answers.WithLabelValues(name, word)
		}
	}
	e.registry.MustRegister(answers, latency, e.stored, e.starts, e.stops, e.paces, e.dropped,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return e
}

func single(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help})
}

// Handler serves the metrics in the Prometheus text format.
func (e *Entry) Handler() http.Handler {
	return promhttp.HandlerFor(e.registry, promhttp.HandlerOpts{})
}

// Answered counts one request. The numbers are those of the operation and the
// verdict.
func (e *Entry) Answered(operation, verdict uint8, took time.Duration) {
	if operation >= maxOperations || verdict >= maxVerdicts {
		return
	}
	e.answers[operation][verdict].Inc()
	e.latency[operation].Observe(took.Seconds())
}

// Stored counts one append of a cell's records.
func (e *Entry) Stored(took time.Duration) { e.stored.Observe(took.Seconds()) }

// Orders counts orders to workers.
func (e *Entry) Orders(starts, stops, paces int) {
	e.starts.Add(float64(starts))
	e.stops.Add(float64(stops))
	e.paces.Add(float64(paces))
}

// LineDropped counts a log line that was left out.
func (e *Entry) LineDropped() { e.dropped.Inc() }
