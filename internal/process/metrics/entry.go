package metrics

import (
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// EntryMetrics holds the metrics of an entry instance that serves job requests.
// All methods are safe for concurrent use.
type EntryMetrics struct {
	registry      *prometheus.Registry
	requests      [operationCount][verdictCount]prometheus.Counter
	latency       [operationCount]prometheus.Observer
	appendSeconds prometheus.Histogram
	starts        prometheus.Counter
	stops         prometheus.Counter
	throttles     prometheus.Counter
	crashes       prometheus.Counter
	jobsGivenUp   prometheus.Counter
	droppedLines  prometheus.Counter
	keptBack      prometheus.Counter
	departures    departureCounters
	away          *prometheus.HistogramVec
	nearWaits     *prometheus.HistogramVec
	leasesBound   prometheus.Counter
	handOvers     [2]prometheus.Counter // unprepared, prepared
	evacuated     prometheus.Gauge
	refused       *prometheus.CounterVec
	completion    prometheus.Histogram
	*ClientMetrics
	roomRefused *prometheus.CounterVec
	jobBytes    *prometheus.GaugeVec
	jobLimit    *prometheus.GaugeVec
	speeds      speedMetrics
	// skippedRecords is indexed by RecordSource.
	skippedRecords [sourceCount]prometheus.Counter
}

// departureCounters counts what the leaders do about workers that leave.
type departureCounters struct {
	known, missed              prometheus.Counter
	moved, movedByInterference prometheus.Counter
}

// speedMetrics shows what the leaders learn about the speeds of workers.
type speedMetrics struct {
	moved prometheus.Counter
	slow  *prometheus.GaugeVec
}

// RecordSource says who wrote a record that was skipped.
type RecordSource uint8

const (
	// SourceRegistry is a worker or another writer of the registry.
	SourceRegistry RecordSource = iota
	// SourceConfiguration is the operators' configuration.
	SourceConfiguration
	// SourcePeer is another instance.
	SourcePeer

	sourceCount = 3
)

// String returns the name of the source in logs and metrics.
func (s RecordSource) String() string {
	return [sourceCount]string{"registry", "configuration", "peer"}[s]
}

const (
	operationCount = 5
	verdictCount   = 6
)

var (
	operationNames = [operationCount]string{"none", "submit", "status", "cancel", "pending"}
	verdictNames   = [verdictCount]string{"unknown", "ok", "no_queue", "absent", "not_run", "bad_request"}
)

// completionBuckets are finest around 1, where the forecast is right.
var completionBuckets = []float64{.1, .25, .5, .75, .9, 1, 1.1, 1.25, 1.5, 2, 3, 5, 10}

// NewEntryMetrics returns metrics that are registered with a registry of their
// own.
func NewEntryMetrics() *EntryMetrics {
	e := &EntryMetrics{
		registry: prometheus.NewRegistry(),
		appendSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: namespace, Name: "append_seconds",
			Help: "Time to store one batch of records.", Buckets: latencyBuckets}),
		starts:      newCounter("task_starts_total", "Start orders sent to backend servers."),
		stops:       newCounter("task_stops_total", "Stop orders sent to backend servers."),
		throttles:   newCounter("task_paces_total", "Pace orders sent to backend servers."),
		crashes:     newCounter("worker_crashes_total", "Backend servers that crashed, as far as a later one at their address shows."),
		jobsGivenUp: newCounter("jobs_given_up_total", "Jobs that failed because a task crashed its backend servers."),
		keptBack:    newCounter("records_kept_back_total", "Records that were not stored because the log does not take them."),
		away:        newHistogramVec("task_away_seconds", "Time for which a long-running task had no run, until it was started again.", "cause"),
		nearWaits:   newHistogramVec("near_wait_seconds", "Time for which a task or a group waited for room in one rack, by how the wait ended.", "outcome"),
		leasesBound: newCounter("leases_bound_total", "Silent backend servers of which the remaining time of the leases was stored for the next leader."),
		evacuated: prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: "evacuated_zones",
			Help: "Availability zones in which nothing is started, as far as the instance knows."}),
		refused: newCounterVec("jobs_refused_total", "Submissions refused because the job could not have any value, by queue.", "queue"),
		completion: prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: namespace, Name: "job_completion_ratio",
			Help: "Actual over expected time to completion of accepted jobs.", Buckets: completionBuckets}),
		droppedLines: newCounter("log_lines_dropped_total", "Log lines left out because there were too many."),
	}
	e.ClientMetrics = newClientMetrics(e.registry)
	e.roomRefused = newCounterVec("jobs_without_room_total", "Submissions refused because the cell has no room for the job, by reason.", "reason")
	e.jobBytes = newGaugeVec("cell_job_bytes", "Memory that the jobs of a cell are charged, by the cell that the instance leads.", "cell")
	e.jobLimit = newGaugeVec("cell_job_limit_bytes", "Memory that the jobs of a cell may be charged, by the cell that the instance leads.", "cell")
	requests := newCounterVec("job_requests_total", "Requests about jobs, by how they were answered.", "operation", "verdict")
	skipped := newCounterVec("records_skipped_total", "Records of other processes that can't be used, by their source.", "source")
	for source := range RecordSource(sourceCount) {
		e.skippedRecords[source] = skipped.WithLabelValues(source.String())
	}
	departures := newCounterVec("worker_departures_total", "Backend servers that said that they leave, and those that left with runs on them.", "outcome")
	handOvers := newCounterVec("hand_overs_total", "Terms that were given up in order, by whether the record for the next leader was stored in time.", "record")
	e.handOvers = [2]prometheus.Counter{handOvers.WithLabelValues("missing"), handOvers.WithLabelValues("stored")}
	moves := newCounterVec("task_moves_total", "Runs stopped so that their tasks start elsewhere.", "cause")
	e.departures = departureCounters{departures.WithLabelValues("known"), departures.WithLabelValues("missed"),
		moves.WithLabelValues("departure"), moves.WithLabelValues("interference")}
	e.speeds = speedMetrics{moves.WithLabelValues("speed"), prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: "slow_workers",
		Help: "Backend servers known as slow, by the cell that the instance leads."}, []string{"cell"})}
	latency := newHistogramVec("job_request_seconds", "Time from arrival to the answer.", "operation")
	for operation, name := range operationNames {
		e.latency[operation] = latency.WithLabelValues(name)
		for verdict, verdictName := range verdictNames {
			e.requests[operation][verdict] = requests.WithLabelValues(name, verdictName)
		}
	}
	e.registry.MustRegister(requests, latency, e.appendSeconds, e.starts, e.stops, e.throttles, e.crashes, e.jobsGivenUp, e.droppedLines, e.keptBack, skipped,
		departures, moves, e.evacuated, e.speeds.slow, e.refused, e.completion, e.away, e.nearWaits, e.leasesBound, handOvers, e.roomRefused, e.jobBytes, e.jobLimit,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return e
}

func newCounter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help})
}

// Handler serves the metrics in the Prometheus text format.
func (e *EntryMetrics) Handler() http.Handler {
	return promhttp.HandlerFor(e.registry, promhttp.HandlerOpts{})
}

// CountAnswer counts one answered request and the time from its arrival to the
// answer. operation and verdict are the numeric codes of the job API, in the
// order of operationNames and verdictNames; unknown codes are not counted.
func (e *EntryMetrics) CountAnswer(operation, verdict uint8, took time.Duration) {
	if operation >= operationCount || verdict >= verdictCount {
		return
	}
	e.requests[operation][verdict].Inc()
	e.latency[operation].Observe(took.Seconds())
}

// AppendFinished records the duration of one append of a cell's records to the
// log.
func (e *EntryMetrics) AppendFinished(took time.Duration) { e.appendSeconds.Observe(took.Seconds()) }

// RecordsKeptBack adds the number of records that the log did not take.
func (e *EntryMetrics) RecordsKeptBack(records int) { e.keptBack.Add(float64(records)) }

// OrdersSent adds the numbers of orders sent to workers: orders to start a
// task, to stop one, and to change the throttle of one.
func (e *EntryMetrics) OrdersSent(starts, stops, throttles int) {
	e.starts.Add(float64(starts))
	e.stops.Add(float64(stops))
	e.throttles.Add(float64(throttles))
}

// WorkersCrashed adds the numbers of workers that crashed and of jobs that were given
// up because a task crashed its workers.
func (e *EntryMetrics) WorkersCrashed(workers, jobsGivenUp int) {
	e.crashes.Add(float64(workers))
	e.jobsGivenUp.Add(float64(jobsGivenUp))
}

// WorkersDeparted adds the numbers of workers that said that they leave, and of workers that
// have left with runs on them.
func (e *EntryMetrics) WorkersDeparted(known, missed int) {
	e.departures.known.Add(float64(known))
	e.departures.missed.Add(float64(missed))
}

// EvacuatedZones records the number of availability zones that are evacuated.
func (e *EntryMetrics) EvacuatedZones(zones int) { e.evacuated.Set(float64(zones)) }

// JobsRefused adds a number of submissions to a queue that were refused because their jobs could
// not have any value.
func (e *EntryMetrics) JobsRefused(queue string, jobs int) {
	e.refused.WithLabelValues(queue).Add(float64(jobs))
}

// RoomRefused counts a submission that was refused because the cell has no room for the job.
func (e *EntryMetrics) RoomRefused(reason string) { e.roomRefused.WithLabelValues(reason).Inc() }

// CellJobs records what the jobs of a cell are charged and may be charged, in bytes.
func (e *EntryMetrics) CellJobs(cell int, held, limit int64) {
	e.jobBytes.WithLabelValues(strconv.Itoa(cell)).Set(float64(held))
	e.jobLimit.WithLabelValues(strconv.Itoa(cell)).Set(float64(limit))
}

// CellGivenUp removes what CellJobs has recorded of a cell that the instance doesn't lead any more.
func (e *EntryMetrics) CellGivenUp(cell int) {
	e.jobBytes.DeleteLabelValues(strconv.Itoa(cell))
	e.jobLimit.DeleteLabelValues(strconv.Itoa(cell))
}

// CompletionRatio records the ratio of the actual to the expected time to completion of a job.
func (e *EntryMetrics) CompletionRatio(ratio float64) { e.completion.Observe(ratio) }

// LeasesBound adds the number of silent workers whose leases were bound.
func (e *EntryMetrics) LeasesBound(workers int) { e.leasesBound.Add(float64(workers)) }

// HandedOver counts a term that is given up in order. stored tells whether the record for the
// next leader was stored in time.
func (e *EntryMetrics) HandedOver(stored bool) {
	if stored {
		e.handOvers[1].Inc()
	} else {
		e.handOvers[0].Inc()
	}
}

// TasksMoved adds the numbers of runs that were stopped for a move, because their workers
// leave and because of interference.
func (e *EntryMetrics) TasksMoved(forDeparture, forInterference int) {
	e.departures.moved.Add(float64(forDeparture))
	e.departures.movedByInterference.Add(float64(forInterference))
}

// TasksMovedForSpeed adds the number of runs that were stopped for a move off a slow worker.
func (e *EntryMetrics) TasksMovedForSpeed(moved int) { e.speeds.moved.Add(float64(moved)) }

// SlowWorkers records the number of workers of a cell that are known as slow.
func (e *EntryMetrics) SlowWorkers(cell, workers int) {
	e.speeds.slow.WithLabelValues(strconv.Itoa(cell)).Set(float64(workers))
}

// TaskAway records how long a long-running task had no run, by the cause.
func (e *EntryMetrics) TaskAway(cause string, took time.Duration) {
	e.away.WithLabelValues(cause).Observe(took.Seconds())
}

// NearWaitEnded records how long a task or a group waited for room in one rack, by the outcome.
func (e *EntryMetrics) NearWaitEnded(outcome string, took time.Duration) {
	e.nearWaits.WithLabelValues(outcome).Observe(took.Seconds())
}

// LineDropped counts one log line that was dropped.
func (e *EntryMetrics) LineDropped() { e.droppedLines.Inc() }

// RecordSkipped counts one record that can't be used.
func (e *EntryMetrics) RecordSkipped(source RecordSource) { e.skippedRecords[source].Inc() }
