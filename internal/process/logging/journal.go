package logging

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
)

const (
	// maxRequestLines and maxTaskLines bound the lines in one second, apart, so
	// that a wave of tasks doesn't hide the requests. At about 5 microseconds a
	// line they take up to 3 thousandths of a core.
	maxRequestLines = 200
	maxTaskLines    = 400
	// maxWaitingLines bounds the lines that wait for the output.
	maxWaitingLines = 1024
)

// Journal writes one line for each decision that touches a request or changes
// what the process believes. It never blocks: lines beyond a limit are counted
// and left out. It may be used by several threads.
type Journal struct {
	log      log.Logger
	output   *output
	requests budget
	tasks    budget
	onDrop   func()
}

// budget bounds the lines of one sort in one second.
type budget struct {
	most   int64
	window atomic.Int64
	lines  atomic.Int64
	// dropped counts the lines left out since the last one that was written.
	dropped atomic.Int64
}

// NewJournal returns a journal that writes JSON lines to w. onDrop is called
// for each line that is left out.
func NewJournal(w io.Writer, level, instance string, onDrop func()) *Journal {
	j := &Journal{output: newOutput(w, onDrop), onDrop: onDrop}
	j.requests.most = maxRequestLines
	j.tasks.most = maxTaskLines
	j.log = log.Logger{
		Level:      log.ParseLevel(level),
		TimeFormat: timeFormat,
		Context:    log.NewContext(nil).Str("instance", instance).Value(),
		Writer:     log.IOWriter{Writer: j.output},
	}
	return j
}

// Close writes the lines that wait.
func (j *Journal) Close() { j.output.close() }

// limited returns a line unless too many were written in this second.
func (j *Journal) limited(b *budget) *log.Entry {
	second := time.Now().Unix()
	if b.window.Swap(second) != second {
		b.lines.Store(0)
	}
	if b.lines.Add(1) > b.most {
		b.dropped.Add(1)
		j.onDrop()
		return nil
	}
	entry := j.log.Info()
	if dropped := b.dropped.Swap(0); dropped > 0 {
		entry = entry.Int64("dropped_before", dropped)
	}
	return entry
}

// RequestLine describes one answered request.
type RequestLine struct {
	Operation string
	Queue     string
	Job       string
	Cell      int
	Verdict   string
	Cause     string
	// Manifest and Epoch are the versions that decided.
	Manifest int64
	Epoch    int64
	Took     time.Duration
}

// Request says how a request was answered.
func (j *Journal) Request(line RequestLine) {
	j.limited(&j.requests).Str("op", line.Operation).Str("queue", line.Queue).Str("job", line.Job).Int("cell", line.Cell).Str("verdict", line.Verdict).
		Str("cause", line.Cause).Int64("manifest", line.Manifest).Int64("epoch", line.Epoch).
		Int64("took_ms", line.Took.Milliseconds()).Msg("request")
}

// TaskLine describes one decision about a task or a worker.
type TaskLine struct {
	Event   string
	Task    string
	Run     int64
	Worker  string
	Outcome string
	// Age is that of the input that decided.
	Age   time.Duration
	Epoch int64
}

// Task says what was decided about a task or a worker.
func (j *Journal) Task(line TaskLine) {
	entry := j.limited(&j.tasks).Int64("epoch", line.Epoch)
	if line.Task != "" {
		entry = entry.Str("task", line.Task).Int64("run", line.Run)
	}
	if line.Worker != "" {
		entry = entry.Str("worker", line.Worker)
	}
	if line.Outcome != "" {
		entry = entry.Str("outcome", line.Outcome)
	}
	if line.Age > 0 {
		entry = entry.Int64("age_ms", line.Age.Milliseconds())
	}
	entry.Msg(line.Event)
}

// Started says that the process serves.
func (j *Journal) Started(version, address string, nonce uint64) {
	j.log.Info().Str("version", version).Str("address", address).Uint64("nonce", nonce).Msg("started")
}

// Stopping says that the process hands over and ends.
func (j *Journal) Stopping(why string) { j.log.Info().Str("why", why).Msg("stopping") }

// Stopped says that the process ends.
func (j *Journal) Stopped() { j.log.Info().Msg("stopped") }

// Reloaded says that the settings were read again.
func (j *Journal) Reloaded(changed bool, err error) {
	j.log.Info().Bool("changed", changed).Err(err).Msg("settings reloaded")
}

// Manifest says that another manifest is in force.
func (j *Journal) Manifest(version int64, source string, queues int) {
	j.log.Info().Int64("manifest", version).Str("source", source).Int("queues", queues).Msg("manifest in force")
}

// Dependency says that something the process depends on was lost or is back.
func (j *Journal) Dependency(name string, reachable bool, err error) {
	j.log.Info().Str("dependency", name).Bool("reachable", reachable).Err(err).Msg("dependency changed")
}

// Leader says that another instance is known to lead a cell.
func (j *Journal) Leader(cell int, epoch int64, address string) {
	j.log.Info().Int("cell", cell).Int64("epoch", epoch).Str("address", address).Msg("leader changed")
}

// Claiming says why the instance tries to lead a cell: the epoch that it takes
// for over, and how long ago it first saw that term's newest record.
func (j *Journal) Claiming(cell int, epoch int64, why string, age time.Duration) {
	j.log.Info().Int("cell", cell).Int64("epoch", epoch).Str("why", why).Int64("age_ms", age.Milliseconds()).Msg("claiming")
}

// Leading says that the instance began or ceased to lead a cell.
func (j *Journal) Leading(cell int, epoch int64, leading bool, why error) {
	j.log.Info().Int("cell", cell).Int64("epoch", epoch).Bool("leading", leading).Err(why).Msg("leadership changed")
}

// Recovered says what a new leader read from the log.
func (j *Journal) Recovered(cell int, epoch int64, jobs, workers int) {
	j.log.Info().Int("cell", cell).Int64("epoch", epoch).Int("jobs", jobs).Int("workers", workers).Msg("cell recovered")
}

// Retry says that something failed and is tried again.
func (j *Journal) Retry(what string, err error) {
	j.limited(&j.requests).Str("what", what).Err(err).Msg("failed, trying again")
}

// Skipped says that a record of others can't be used.
func (j *Journal) Skipped(source, key string, err error) {
	j.limited(&j.requests).Str("source", source).Str("key", key).Err(err).Msg("record skipped")
}
