// Package entry assembles an entry instance that runs multi-step jobs. The
// instance follows the configuration, takes part in the election of each cell's
// leader, and leads the cells that it has won. The package only connects the parts
// whose life span is a request, a connection, a version or the process.
package entry

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"poplarvalve/internal/connection/advice"
	"poplarvalve/internal/connection/cellcodec"
	"poplarvalve/internal/connection/celllink"
	"poplarvalve/internal/connection/jobapi"
	"poplarvalve/internal/connection/peer"
	"poplarvalve/internal/connection/workerlink"
	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/logging"
	"poplarvalve/internal/process/membudget"
	"poplarvalve/internal/process/metrics"
	"poplarvalve/internal/process/publish"
	"poplarvalve/internal/process/store"
	"poplarvalve/internal/request/intake"
	"poplarvalve/internal/version/cell"
	"poplarvalve/internal/version/election"
	"poplarvalve/internal/version/evacuation"
	"poplarvalve/internal/version/manifest"
)

// Decoder decodes the records that other components write to the platform's log.
type Decoder interface {
	// Manifest decodes a record of the operators' configuration. It returns nil
	// without an error for a record that holds no manifest.
	Manifest(record store.Record) (*manifest.Manifest, error)
	// Evacuation decodes a record of the operators. It returns nil without an error for a
	// record that is no request about a zone.
	Evacuation(record store.Record) (*evacuation.Request, error)
	// Worker decodes the record by which a worker is registered.
	Worker(record store.Record) (cell.WorkerInfo, error)
}

// Options holds the settings and dependencies of an Entry. All fields but Zone and
// Advice are required.
type Options struct {
	// Self identifies this instance in elections.
	Self election.Holder
	// Zone is the instance's availability zone, or empty if it is unknown. The voters of
	// a term are spread over the zones.
	Zone string
	// CPUShare is the part of a core that the instance may use.
	CPUShare float64
	// MemoryMB is the memory that the process may use, in megabytes, or 0 if that is not limited.
	MemoryMB int
	Log      store.Log
	// Configuration is the partition of the log to which operators write the
	// configuration, and Registry the one that holds the workers' registrations.
	Configuration store.Partition
	Registry      store.Partition
	Decoder       Decoder
	// LinkDialer opens the connections to other instances.
	LinkDialer peer.Dialer
	// DialWorker returns a client of a worker.
	DialWorker func(info cell.WorkerInfo) workerlink.WorkerClient
	// Advice is the advice service, or nil if the deployment has none.
	Advice  advice.Service
	Limits  Limits
	Journal *logging.Journal
	Metrics *metrics.EntryMetrics
}

// Limits holds the limits that are set per deployment.
type Limits struct {
	// MaxLease is the longest lease that a worker grants.
	MaxLease time.Duration
	// EndedJobRetention is how long an ended job is kept, so that callers can query
	// it.
	EndedJobRetention time.Duration
	// RemoteFactor is the factor by which a task takes longer if it does not run
	// in the rack that holds its data.
	RemoteFactor float64
	// NearWait, LearnSpeed and RefuseHopeless have the same meaning as in cell.Config.
	NearWait       time.Duration
	LearnSpeed     bool
	RefuseHopeless bool
	// EvacuationApply is the time from the acknowledgement of a request to evacuate an
	// availability zone within which it must be in force, or 0 if operators evacuate none.
	EvacuationApply time.Duration
	// Log holds the sizes above which the log refuses an append. The zero value stands
	// for store.DefaultLimits.
	Log store.Limits
}

// Entry is one entry instance. It is created by New and runs from Start to Stop.
type Entry struct {
	options  Options
	manifest *publish.Value[manifest.Manifest]
	// encodedManifests holds the manifest in force, and those before it, in the encoding
	// in which they are sent to other instances. It is never empty.
	encodedManifests *publish.Value[encodedManifests]
	// manifestCheck says when the manifest in force was the newest one.
	manifestCheck *publish.Value[manifestCheck]
	leaders       *leaderDirectory
	// draining is closed when the instance starts to drain.
	draining chan struct{}
	// recentClaims is the number of claims that were started within the last
	// recentClaimWindow.
	recentClaims atomic.Int64
	// lastHandOver is the time at which this instance last handed a cell to a
	// larger instance, in Unix nanoseconds.
	lastHandOver atomic.Int64
	cancel       context.CancelFunc
	goroutines   sync.WaitGroup
	drainOnce    sync.Once
}

// New returns an instance that does no work until Start is called.
func New(options Options) *Entry {
	if options.Limits.Log == (store.Limits{}) {
		options.Limits.Log = store.DefaultLimits
	}
	e := &Entry{
		options:          options,
		manifest:         publish.New[manifest.Manifest](nil),
		encodedManifests: publish.New[encodedManifests](nil),
		manifestCheck:    publish.New[manifestCheck](nil),
		draining:         make(chan struct{}),
	}
	e.leaders = newLeaderDirectory(e)
	return e
}

// Start starts to follow the configuration and to take part in elections, in
// goroutines that run until Stop.
func (e *Entry) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	e.spawn(func() { e.followConfiguration(ctx) })
	e.spawn(func() { e.leaders.followManifestSource(ctx) })
	e.spawn(func() { e.followCells(ctx) })
}

// spawn runs a loop in a goroutine. After an unexpected error it starts the loop again.
func (e *Entry) spawn(loop func()) {
	e.goroutines.Add(1)
	go func() {
		defer e.goroutines.Done()
		for {
			err := fault.Catch(loop)
			if err == nil {
				return
			}
			e.options.Journal.UnexpectedError("loop of the instance", err)
			time.Sleep(electionRetryPause)
		}
	}()
}

// Drain starts to hand over the cells that the instance leads. Each is handed over
// once the log has recorded its release; until then no other instance could claim
// it. The instance still forwards requests to the leaders.
func (e *Entry) Drain() {
	e.drainOnce.Do(func() { close(e.draining) })
}

// AwaitHandOver waits until the instance leads no cell. It returns the error of
// ctx if that ends first.
func (e *Entry) AwaitHandOver(ctx context.Context) error {
	for {
		changed := e.leaders.Changed()
		if len(e.leaders.table.Load().ledHere) == 0 {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Stop drains the instance, ends the goroutines that Start has started, waits for
// them, and closes the links to other instances. Start must have been called.
func (e *Entry) Stop() {
	e.Drain()
	e.cancel()
	e.goroutines.Wait()
	e.leaders.close()
}

// Ready reports whether the instance can serve requests: it has a manifest, can
// reach the leader of every cell and is not draining.
func (e *Entry) Ready() bool {
	select {
	case <-e.draining:
		return false
	default:
	}
	return e.manifest.Load() != nil && e.leaders.canReachAllLeaders()
}

// Serve handles one request and records it in the metrics. It also logs the request
// unless it is a successful status query.
func (e *Entry) Serve(ctx context.Context, request jobapi.Request) jobapi.Answer {
	start := time.Now()
	answer := intake.Serve(ctx, start, e.manifest.Load(), e.leaders, request)
	elapsed := time.Since(start)
	e.options.Metrics.CountAnswer(uint8(request.Operation), uint8(answer.Verdict), elapsed)
	if answer.Verdict != jobapi.OK || request.Operation != cellcodec.OpStatus {
		e.options.Journal.LogRequest(logging.RequestLine{
			Operation:       operationName(request.Operation),
			Queue:           answer.Queue,
			Job:             string(answer.Job),
			Cell:            answer.Cell,
			Verdict:         verdictName(answer.Verdict),
			FailureKind:     string(answer.FailureKind),
			ManifestVersion: answer.ManifestVersion,
			Epoch:           e.leaders.knownEpoch(answer.Cell),
			Took:            elapsed,
		})
	}
	return answer
}

// LinkHandler returns the handler that accepts links from other instances. memory is the budget for
// the messages that arrive on them, or nil.
func (e *Entry) LinkHandler(memory *membudget.Budget) http.Handler {
	return celllink.Handler(e.leaders, memory)
}

// Dump returns the instance's view of the cells and their leaders, and the state of
// the cells that it leads, for operators.
func (e *Entry) Dump() map[string]any { return e.leaders.dump() }

func operationName(operation cellcodec.Operation) string {
	switch operation {
	case cellcodec.OpSubmit:
		return "submit"
	case cellcodec.OpStatus:
		return "status"
	case cellcodec.OpCancel:
		return "cancel"
	}
	return "pending"
}

func verdictName(verdict jobapi.Verdict) string {
	switch verdict {
	case jobapi.OK:
		return "ok"
	case jobapi.NoQueue:
		return "no_queue"
	case jobapi.NotFound:
		return "absent"
	case jobapi.NotRun:
		return "not_run"
	case jobapi.BadRequest:
		return "bad_request"
	}
	return "unknown"
}
