package main

import (
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"poplarvalve/internal/process/fault"
	"poplarvalve/test/cluster"
)

const (
	// maxLatencyMicros and latencyDigits are the range, in microseconds, and the
	// significant decimal digits of the latency histograms.
	maxLatencyMicros = 60_000_000
	latencyDigits    = 3
	// maxProblems bounds the problems that a report lists. ProblemCount counts
	// all of them.
	maxProblems = 50
)

// classSummary counts the results of the requests of one class. The latencies
// are in milliseconds and cover complete answers only, each from the due time of
// its request.
type classSummary struct {
	Sent     int `json:"sent"`
	Answered int `json:"answered"`
	Refused  int `json:"refused"`
	Unknown  int `json:"unknown"`
	Lost     int `json:"lost"`
	// Skipped counts requests that were not sent because maxInFlight requests
	// were in flight when they were due.
	Skipped   int                `json:"skipped"`
	Failures  map[fault.Kind]int `json:"failures,omitempty"`
	PerSecond float64            `json:"answered_per_second"`
	P50       float64            `json:"p50_ms"`
	P99       float64            `json:"p99_ms"`
	P999      float64            `json:"p99_9_ms"`
	Max       float64            `json:"max_ms"`

	latency *hdrhistogram.Histogram
}

// processUsage is the memory and processor time that one instance used from its
// start to its end.
type processUsage struct {
	Name             string  `json:"name"`
	PeakMiB          float64 `json:"peak_memory_mib"`
	ProcessorSeconds float64 `json:"processor_seconds"`
	ElapsedSeconds   float64 `json:"lived_seconds"`
}

// report holds the results of one run.
type report struct {
	Seed      uint64                   `json:"seed"`
	Rate      float64                  `json:"rate_per_second"`
	Seconds   float64                  `json:"seconds"`
	Instances int                      `json:"instances,omitempty"`
	Direct    *classSummary            `json:"direct,omitempty"`
	Classes   map[string]*classSummary `json:"classes"`
	Repeats   int                      `json:"repeats"`
	Processes []processUsage           `json:"processes,omitempty"`
	// Problems lists the first maxProblems problems, and ProblemCount is the
	// number of all of them.
	Problems     []string `json:"problems"`
	ProblemCount int      `json:"problems_found"`

	mu sync.Mutex
}

func newReport(o options) *report {
	return &report{Seed: o.seed, Rate: o.rate, Classes: map[string]*classSummary{}, Problems: []string{}}
}

func (r *report) hasProblems() bool { return r.ProblemCount > 0 }

// summaryOf returns the summary of a class and creates it if needed. The caller
// must hold the mutex.
func (r *report) summaryOf(name string) *classSummary {
	found, known := r.Classes[name]
	if !known {
		found = &classSummary{Failures: map[fault.Kind]int{}, latency: hdrhistogram.New(1, maxLatencyMicros, latencyDigits)}
		r.Classes[name] = found
	}
	return found
}

func (r *report) countSkipped(class string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.summaryOf(class).Skipped++
}

func (r *report) countRepeat() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Repeats++
}

func (r *report) addProblem(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addProblemLocked(format, arguments...)
}

func (r *report) addProblemLocked(format string, arguments ...any) {
	r.ProblemCount++
	if len(r.Problems) < maxProblems {
		r.Problems = append(r.Problems, fmt.Sprintf(format, arguments...))
	}
}

// countReply adds one reply to its class. matches tells whether the answer
// belongs to the request.
func (r *report) countReply(p plannedRequest, reply cluster.Reply, took time.Duration, matches bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.summaryOf(p.class)
	s.Sent++
	if reply.Kind != "" {
		s.Failures[reply.Kind]++
	}
	switch {
	case reply.Succeeded() && matches:
		s.Answered++
		// A latency beyond the range is recorded as the largest value.
		_ = s.latency.RecordValue(min(took.Microseconds(), maxLatencyMicros))
	case reply.Outcome == cluster.Ran:
		r.addProblemLocked("%s: the answer is incomplete or differs from the request body: %s, %d of %d bytes", p.label, reply, len(reply.Body), len(p.body))
	case reply.Outcome == cluster.NotRun || reply.Outcome == cluster.NotSent:
		s.Refused++
	case reply.Outcome == cluster.Unknown:
		s.Unknown++
	default:
		s.Lost++
	}
}

// computeFigures computes the rate and the latency quantiles of each class.
func (r *report) computeFigures() {
	for _, s := range r.Classes {
		s.computeFigures(r.Seconds)
	}
}

func (s *classSummary) computeFigures(seconds float64) {
	s.PerSecond = float64(s.Answered) / max(seconds, 1e-9)
	s.P50 = millis(s.latency.ValueAtQuantile(50))
	s.P99 = millis(s.latency.ValueAtQuantile(99))
	s.P999 = millis(s.latency.ValueAtQuantile(99.9))
	s.Max = millis(s.latency.Max())
}

func millis(micros int64) float64 { return float64(micros) / 1000 }
