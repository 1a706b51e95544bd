package logging

import (
	"io"
	"strings"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
)

const (
	// maxRequestLinesPerSecond and maxTaskLinesPerSecond limit the lines about
	// requests and about tasks separately, so that a burst of task lines does
	// not displace the request lines. At about 5 microseconds a line, both
	// together cost up to 3 thousandths of a core.
	maxRequestLinesPerSecond = 200
	maxTaskLinesPerSecond    = 400
	// maxSkipLinesPerSecond limits the lines about records that can't be used. Their
	// writer decides how often it writes them.
	maxSkipLinesPerSecond = 5
	// maxClientLinesPerSecond limits the lines about clients that exceed a limit. Their number
	// is up to the clients; the metrics count all of them.
	maxClientLinesPerSecond = 5
	// maxErrorTextBytes limits the text of an error, which may quote what another
	// process has sent. It has room for the first frames of a stack.
	maxErrorTextBytes = 2 << 10
	// maxQueuedLines is the maximum number of lines that wait to be written.
	maxQueuedLines = 1024
)

// Journal logs one line for each decision about a request and for each change
// of the state of an entry instance. It never blocks: it drops and counts the
// lines that exceed a limit. It is safe for concurrent use.
type Journal struct {
	log      log.Logger
	output   *asyncWriter
	requests lineLimit
	tasks    lineLimit
	skips    lineLimit
	clients  lineLimit
	onDrop   func()
}

// lineLimit limits the lines of one kind that are written within one second.
type lineLimit struct {
	maxPerSecond int64
	// second is the Unix time of the second to which lines belongs.
	second atomic.Int64
	lines  atomic.Int64
	// dropped counts the lines dropped since the last line that was written.
	dropped atomic.Int64
}

// NewJournal returns a journal that writes JSON lines of at least level (debug,
// info, warn or error) to w. It calls onDrop for each dropped line.
func NewJournal(w io.Writer, level, instance string, onDrop func()) *Journal {
	j := &Journal{output: newAsyncWriter(w, onDrop), onDrop: onDrop}
	j.requests.maxPerSecond = maxRequestLinesPerSecond
	j.tasks.maxPerSecond = maxTaskLinesPerSecond
	j.skips.maxPerSecond = maxSkipLinesPerSecond
	j.clients.maxPerSecond = maxClientLinesPerSecond
	j.log = log.Logger{
		Level:      log.ParseLevel(level),
		TimeFormat: timeFormat,
		Context:    log.NewContext(nil).Str("instance", instance).Value(),
		Writer:     log.IOWriter{Writer: j.output},
	}
	return j
}

// Close writes the queued lines and then returns. The journal must not be used
// afterwards.
func (j *Journal) Close() { j.output.close() }

// limitedInfo returns a new line at level info, or nil if the limit of the
// current second is reached. If lines were dropped since the last one, the new
// line says how many.
func (j *Journal) limitedInfo(limit *lineLimit) *log.Entry {
	second := time.Now().Unix()
	if limit.second.Swap(second) != second {
		limit.lines.Store(0)
	}
	if limit.lines.Add(1) > limit.maxPerSecond {
		limit.dropped.Add(1)
		j.onDrop()
		return nil
	}
	entry := j.log.Info()
	if dropped := limit.dropped.Swap(0); dropped > 0 {
		entry = entry.Int64("dropped_before", dropped)
	}
	return entry
}

// RequestLine is the log line about one answered request.
type RequestLine struct {
	Operation   string
	Queue       string
	Job         string
	Cell        int
	Verdict     string
	FailureKind string
	// ManifestVersion and Epoch are the versions on which the decision was
	// based.
	ManifestVersion int64
	Epoch           int64
	Took            time.Duration
}

// LogRequest logs how a request was answered.
func (j *Journal) LogRequest(line RequestLine) {
	j.limitedInfo(&j.requests).Str("op", line.Operation).Str("queue", line.Queue).Str("job", line.Job).Int("cell", line.Cell).Str("verdict", line.Verdict).
		Str("cause", line.FailureKind).Int64("manifest", line.ManifestVersion).Int64("epoch", line.Epoch).
		Int64("took_ms", line.Took.Milliseconds()).Msg("request")
}

// TaskLine is the log line about one decision about a task or a worker.
type TaskLine struct {
	Event   string
	Task    string
	Run     int64
	Worker  string
	Outcome string
	// End is the number of an end at its worker, or 0.
	End int64
	// KnownRun is the highest earlier run of a task that is started, or 0, and Recovery
	// says why a task of an earlier term may be started.
	KnownRun int64
	Recovery string
	// InputAge is the age of the input on which the decision was based.
	InputAge time.Duration
	Epoch    int64
}

// LogTask logs a decision about a task or a worker.
func (j *Journal) LogTask(line TaskLine) {
	entry := j.limitedInfo(&j.tasks).Int64("epoch", line.Epoch)
	if line.Task != "" {
		entry = entry.Str("task", line.Task).Int64("run", line.Run)
	}
	if line.Worker != "" {
		entry = entry.Str("worker", line.Worker)
	}
	if line.Outcome != "" {
		entry = entry.Str("outcome", line.Outcome)
	}
	if line.End > 0 {
		entry = entry.Int64("end", line.End)
	}
	if line.KnownRun > 0 {
		entry = entry.Int64("known_run", line.KnownRun)
	}
	if line.Recovery != "" {
		entry = entry.Str("recovery", line.Recovery)
	}
	if line.InputAge > 0 {
		entry = entry.Int64("age_ms", line.InputAge.Milliseconds())
	}
	entry.Msg(line.Event)
}

// Started logs that the process serves requests at address.
func (j *Journal) Started(version, address string, nonce uint64) {
	j.log.Info().Str("version", version).Str("address", address).Uint64("nonce", nonce).Msg("started")
}

// Stopping logs that the process starts to hand over its cells and shut down.
func (j *Journal) Stopping(why string) { j.log.Info().Str("why", why).Msg("stopping") }

// Stopped logs that the process exits.
func (j *Journal) Stopped() { j.log.Info().Msg("stopped") }

// Reloaded logs that the settings were read again. changed says whether they
// differ from those before; err is nil if they could be read.
func (j *Journal) Reloaded(changed bool, err error) {
	j.log.Info().Bool("changed", changed).Err(err).Msg("settings reloaded")
}

// ManifestInForce logs that another version of the manifest is in force.
func (j *Journal) ManifestInForce(version int64, source string, queues int) {
	j.log.Info().Int64("manifest", version).Str("source", source).Int("queues", queues).Msg("manifest in force")
}

// DependencyChanged logs that a service on which the process depends became
// reachable or unreachable.
func (j *Journal) DependencyChanged(name string, reachable bool, err error) {
	j.log.Info().Str("dependency", name).Bool("reachable", reachable).Err(err).Msg("dependency changed")
}

// LeaderChanged logs the instance that is now known as the leader of a cell.
func (j *Journal) LeaderChanged(cell int, epoch int64, address string) {
	j.log.Info().Int("cell", cell).Int64("epoch", epoch).Str("address", address).Msg("leader changed")
}

// Claiming logs that the instance tries to become the leader of a cell, and
// why. epoch is the epoch that it considers over; age is the time since it
// first saw the newest record of that term.
func (j *Journal) Claiming(cell int, epoch int64, why string, age time.Duration) {
	j.log.Info().Int("cell", cell).Int64("epoch", epoch).Str("why", why).Int64("age_ms", age.Milliseconds()).Msg("claiming")
}

// LeadershipChanged logs that the instance became the leader of a cell or lost
// the leadership.
func (j *Journal) LeadershipChanged(cell int, epoch int64, leading bool, why error) {
	j.log.Info().Int("cell", cell).Int64("epoch", epoch).Bool("leading", leading).Err(why).Msg("leadership changed")
}

// LeaseAuthority logs by what a leader extends leases, when that changes and once a
// second while its newest renewal of the term does not suffice. extended is the number
// of renewals since the last such line that extended the leases of a worker.
func (j *Journal) LeaseAuthority(cell int, epoch int64, authority string, renewalAge time.Duration, extended int64) {
	j.log.Info().Int("cell", cell).Int64("epoch", epoch).Str("authority", authority).
		Int64("renewal_age_ms", renewalAge.Milliseconds()).Int64("extended", extended).Msg("lease authority")
}

// TermConfirmed logs that no earlier leader of a cell extends leases any more without a
// renewal of its term: enough of the voters have confirmed the new term, or the longest time
// for that has passed.
func (j *Journal) TermConfirmed(cell int, epoch int64, voters int, byVoters bool, waited time.Duration) {
	j.log.Info().Int("cell", cell).Int64("epoch", epoch).Int("voters", voters).Bool("by_voters", byVoters).
		Int64("waited_ms", waited.Milliseconds()).Msg("term confirmed")
}

// RecoveredLine is the log line about the state that a new leader of a cell has read from
// the log.
type RecoveredLine struct {
	Cell  int
	Epoch int64
	// Jobs includes EndedJobs, and Workers IdleWorkers. For BoundWorkers the term before has
	// stored how long their leases may last.
	Jobs, EndedJobs, Workers, IdleWorkers, BoundWorkers int
	// ProgressRecords includes ProgressParts.
	ProgressRecords, ProgressParts int
	// DoneTasks and FailedRuns count ends in the open occurrences of jobs.
	DoneTasks, FailedRuns int
	// DoneByTerm says how many tasks are done by runs of which term.
	DoneByTerm string
}

// Recovered logs what a new leader of a cell has read from the log.
func (j *Journal) Recovered(line RecoveredLine) {
	j.log.Info().Int("cell", line.Cell).Int64("epoch", line.Epoch).Int("jobs", line.Jobs).Int("ended_jobs", line.EndedJobs).
		Int("workers", line.Workers).Int("idle_workers", line.IdleWorkers).Int("bound_workers", line.BoundWorkers).
		Int("progress_records", line.ProgressRecords).Int("progress_parts", line.ProgressParts).
		Int("done_tasks", line.DoneTasks).Int("failed_runs", line.FailedRuns).Str("done_by_term", line.DoneByTerm).Msg("cell recovered")
}

// Retrying logs that an operation failed and is tried again.
func (j *Journal) Retrying(what string, err error) {
	j.limitedInfo(&j.requests).Str("what", what).Str("error", errorText(err)).Msg("failed, trying again")
}

// RecordSkipped logs that a record that another process wrote can't be used.
func (j *Journal) RecordSkipped(source, key string, err error) {
	j.limitedInfo(&j.skips).Str("source", source).Str("key", key).Str("error", errorText(err)).Msg("record skipped")
}

// ClientRefused logs that a request was refused or a connection closed because a client exceeded a
// limit of the process.
func (j *Journal) ClientRefused(reason, address string) {
	j.limitedInfo(&j.clients).Str("reason", reason).Str("client", address).Msg("client refused")
}

// RecordKeptBack logs that a record of the instance was not stored, because the log does
// not take it.
func (j *Journal) RecordKeptBack(key string, err error) {
	j.limitedInfo(&j.skips).Str("key", key).Str("error", errorText(err)).Msg("record kept back")
}

// errorText returns the text of an error, cut at maxErrorTextBytes.
func errorText(err error) string {
	text := err.Error()
	if len(text) > maxErrorTextBytes {
		text = strings.ToValidUTF8(text[:maxErrorTextBytes], "") + " (cut)"
	}
	return text
}

// UnexpectedError logs a panic that ended only a part of the process: where it
// happened, and the error with its stack.
func (j *Journal) UnexpectedError(where string, err error) {
	j.log.Error().Str("where", where).Err(err).Msg("unexpected error")
}
