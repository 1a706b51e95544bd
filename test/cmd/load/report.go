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
	// maxMicros and digits are the range and precision of the latencies.
	maxMicros = 60_000_000
	digits    = 3
	// maxProblems bounds the problems that are listed; all are counted.
	maxProblems = 50
)

// summary holds what became of the requests of one class. Latencies are those
// of whole answers, from the time at which each was due, in milliseconds.
type summary struct {
	Sent     int `json:"sent"`
	Answered int `json:"answered"`
	Refused  int `json:"refused"`
	Unknown  int `json:"unknown"`
	Lost     int `json:"lost"`
	// Skipped requests were due, but too many were under way.
	Skipped   int                `json:"skipped"`
	Kinds     map[fault.Kind]int `json:"failures,omitempty"`
	PerSecond float64            `json:"answered_per_second"`
	P50       float64            `json:"p50_ms"`
	P99       float64            `json:"p99_ms"`
	P999      float64            `json:"p99_9_ms"`
	Max       float64            `json:"max_ms"`

	latency *hdrhistogram.Histogram
}

// process is what one instance took from its start to its end.
type process struct {
	Name      string  `json:"name"`
	PeakMiB   float64 `json:"peak_memory_mib"`
	Processor float64 `json:"processor_seconds"`
	Lived     float64 `json:"lived_seconds"`
}

// report is the result of one run.
type report struct {
	Seed      uint64              `json:"seed"`
	Rate      float64             `json:"rate_per_second"`
	Seconds   float64             `json:"seconds"`
	Instances int                 `json:"instances,omitempty"`
	Direct    *summary            `json:"direct,omitempty"`
	Classes   map[string]*summary `json:"classes"`
	Repeats   int                 `json:"repeats"`
	Processes []process           `json:"processes,omitempty"`
	// Problems holds the first of them, and Found their number.
	Problems []string `json:"problems"`
	Found    int      `json:"problems_found"`

	mu sync.Mutex
}

func newReport(o options) *report {
	return &report{Seed: o.seed, Rate: o.rate, Classes: map[string]*summary{}, Problems: []string{}}
}

func (r *report) faults() bool { return r.Found > 0 }

// class returns the summary of a class. The caller holds the mutex.
func (r *report) class(name string) *summary {
	found, known := r.Classes[name]
	if !known {
		found = &summary{Kinds: map[fault.Kind]int{}, latency: hdrhistogram.New(1, maxMicros, digits)}
		r.Classes[name] = found
	}
	return found
}

func (r *report) skip(class string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.class(class).Skipped++
}

func (r *report) repeated() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Repeats++
}

func (r *report) problem(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.note(format, arguments...)
}

func (r *report) note(format string, arguments ...any) {
	r.Found++
	if len(r.Problems) < maxProblems {
		r.Problems = append(r.Problems, fmt.Sprintf(format, arguments...))
	}
}

// count adds one reply. own says whether the answer belongs to the request.
func (r *report) count(p planned, reply cluster.Reply, took time.Duration, own bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.class(p.class)
	s.Sent++
	if reply.Kind != "" {
		s.Kinds[reply.Kind]++
	}
	switch {
	case reply.Whole() && own:
		s.Answered++
		// A latency above the range is counted as the largest one.
		_ = s.latency.RecordValue(min(took.Microseconds(), maxMicros))
	case reply.Outcome == cluster.Ran:
		r.note("%s: the answer is not whole or not its own: %s, %d of %d bytes", p.label, reply, len(reply.Body), len(p.body))
	case reply.Outcome == cluster.NotRun || reply.Outcome == cluster.NotSent:
		s.Refused++
	case reply.Outcome == cluster.Unknown:
		s.Unknown++
	default:
		s.Lost++
	}
}

// finish computes the figures of each class.
func (r *report) finish() {
	for _, s := range r.Classes {
		s.finish(r.Seconds)
	}
}

func (s *summary) finish(seconds float64) {
	s.PerSecond = float64(s.Answered) / max(seconds, 1e-9)
	s.P50 = millis(s.latency.ValueAtQuantile(50))
	s.P99 = millis(s.latency.ValueAtQuantile(99))
	s.P999 = millis(s.latency.ValueAtQuantile(99.9))
	s.Max = millis(s.latency.Max())
}

func millis(micros int64) float64 { return float64(micros) / 1000 }
