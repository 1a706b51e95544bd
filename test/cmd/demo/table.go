package main

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"poplarvalve/internal/process/work"
)

const (
	// maxLatencyMicros and latencyDigits are the range, in microseconds, and the
	// significant decimal digits of the latency histograms.
	maxLatencyMicros = 120_000_000
	latencyDigits    = 3
	columnGap        = 2
	// maxReplies bounds the replies that are printed for one slow operation.
	maxReplies = 12
)

// tally counts the results of the operations of one class.
type tally struct {
	sent, answered, refused, unknown int
	// retries counts the requests before the first answer, and repeats the later
	// requests that were answered too.
	retries, repeats int
	latency          *hdrhistogram.Histogram
}

func (t *tally) add(o *operation) {
	t.sent++
	if o.answerIndex >= 0 {
		t.answered++
		t.retries += o.answerIndex
		first, last := o.replies[0], o.replies[o.answerIndex]
		_ = t.latency.RecordValue(last.ReceivedAt.Sub(first.SentAt).Microseconds())
		for _, reply := range o.replies[o.answerIndex+1:] {
			if reply.Succeeded() {
				t.repeats++
			}
		}
		return
	}
	t.retries += max(len(o.replies)-1, 0)
	if o.inDoubtBefore(len(o.replies)) {
		t.unknown++
		return
	}
	t.refused++
}

// printTable prints one line for each class and one for the jobs.
func printTable(out io.Writer, operations []*operation, jobs []*job) {
	table := tabwriter.NewWriter(out, 0, 0, columnGap, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "class\trequests\tanswered\trefused\tunknown\tretries\trepeats\tp50 ms\tp99 ms\tmax ms\t")
	for _, c := range clientGroups {
		t := tally{latency: hdrhistogram.New(1, maxLatencyMicros, latencyDigits)}
		for _, o := range operations {
			if o.class == c.class {
				t.add(o)
			}
		}
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t\n", c.class, t.sent, t.answered, t.refused,
			t.unknown, t.retries, t.repeats, millis(t.latency.ValueAtQuantile(50)),
			millis(t.latency.ValueAtQuantile(99)), millis(t.latency.Max()))
	}
	_ = table.Flush()
	states := map[string]int{}
	accepted, resumed := 0, 0
	for _, j := range jobs {
		if j.fullID != "" {
			accepted++
		}
		states[j.state]++
		if len(j.runs) > 1 {
			resumed++
		}
	}
	fmt.Fprintf(out, "\njobs: %d submitted, %d accepted, %d succeeded, %d canceled, %d failed, %d resumed\n", len(jobs), accepted,
		states[work.JobSucceeded.String()], states[work.JobCanceled.String()], states[work.JobFailed.String()], resumed)
	printRefusals(out, operations)
}

// printSlowest prints the operations that took longest, each with its first
// replies.
func printSlowest(out io.Writer, operations []*operation, count int) {
	sorted := slices.SortedFunc(slices.Values(operations), func(a, b *operation) int { return cmp.Compare(b.took(), a.took()) })
	for _, o := range sorted[:min(count, len(sorted))] {
		fmt.Fprintf(out, "\n%s: %s\n", o.label, o.took())
		for _, reply := range o.replies[:min(len(o.replies), maxReplies)] {
			fmt.Fprintf(out, "  %s +%s %s\n", reply.SentAt.Format("15:04:05.000"), reply.ReceivedAt.Sub(reply.SentAt), reply)
		}
	}
}

// printResumed prints the runs of each job that ran more than once.
func printResumed(out io.Writer, jobs []*job) {
	for _, j := range jobs {
		if len(j.runs) > 1 {
			fmt.Fprintf(out, "\n%s, %s: %s\n", j.label, j.state, formatRuns(j.runs))
		}
	}
}

// took returns the time from sending the first request to receiving the last
// reply.
func (o *operation) took() time.Duration {
	if len(o.replies) == 0 {
		return 0
	}
	return o.replies[len(o.replies)-1].ReceivedAt.Sub(o.replies[0].SentAt)
}

// printRefusals prints how often each outcome and kind of failure was received.
func printRefusals(out io.Writer, operations []*operation) {
	counts := map[string]int{}
	for _, o := range operations {
		for _, reply := range o.replies {
			if !reply.Succeeded() {
				counts[fmt.Sprintf("%s %s", reply.Outcome, reply.Kind)]++
			}
		}
	}
	fmt.Fprintln(out, "replies that were no answer:", counts)
}

func millis(micros int64) float64 {
	return float64(micros) / 1000
}
