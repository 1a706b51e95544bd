// Package entry assembles one entry instance that runs jobs of steps: it
// follows the configuration, takes part in the election of each cell's leader,
// and leads the cells it won. It only wires the four life spans together.
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
	"poplarvalve/internal/connection/workerlink"
	"poplarvalve/internal/process/logging"
	"poplarvalve/internal/process/metrics"
	"poplarvalve/internal/process/publish"
	"poplarvalve/internal/process/store"
	"poplarvalve/internal/request/intake"
	"poplarvalve/internal/version/cell"
	"poplarvalve/internal/version/election"
	"poplarvalve/internal/version/manifest"
)

// Decoder turns what others write into the platform's log into our types.
type Decoder interface {
	// Manifest decodes the operators' configuration. It returns nil for a
	// record of another kind.
	Manifest(record store.Record) (*manifest.Manifest, error)
	Worker(record store.Record) (cell.WorkerInfo, error)
}

// Options holds the parts of an Entry. All fields but Advice are required.
type Options struct {
	Self election.Holder
	// CPUShare is the part of a core that the instance may use.
	CPUShare float64
	Log      store.Log
	// Configuration and Registry are the partitions that others write.
	Configuration store.Partition
	Registry      store.Partition
	Decoder       Decoder
	DialWorker    func(info cell.WorkerInfo) workerlink.API
	// Advice is the advice service, or nil if the deployment has none.
	Advice  advice.Service
	Bounds  Bounds
	Journal *logging.Journal
	Metrics *metrics.Entry
}

// Bounds are the figures of the deployment.
type Bounds struct {
	// MaxLease is the longest lease that a worker grants.
	MaxLease time.Duration
	// KeepEnded is how long callers may ask for an ended job.
	KeepEnded time.Duration
	// RemoteFactor is how much longer a task takes off its data rack.
	RemoteFactor float64
}

// Entry is one instance.
type Entry struct {
	options  Options
	manifest *publish.Cell[manifest.Manifest]
	// encoded is the manifest as it is passed on to peers.
	encoded  *publish.Cell[encodedManifest]
	leaders  *leaders
	draining chan struct{}
	// contending counts the claims that were begun a short time ago.
	contending atomic.Int64
	// handedOver is when a cell was last handed to a larger instance, in Unix
	// nanoseconds.
	handedOver atomic.Int64
	stop       context.CancelFunc
	running    sync.WaitGroup
	drain      sync.Once
}

// New returns an instance that does nothing yet.
func New(options Options) *Entry {
	e := &Entry{
		options:  options,
		manifest: publish.New[manifest.Manifest](nil),
		encoded:  publish.New[encodedManifest](nil),
		draining: make(chan struct{}),
	}
	e.leaders = newLeaders(e)
	return e
}

// Start begins to follow the log and to take part in elections.
func (e *Entry) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	e.stop = cancel
	e.spawn(func() { e.followConfiguration(ctx) })
	e.spawn(func() { e.followCells(ctx) })
}

func (e *Entry) spawn(do func()) {
	e.running.Add(1)
	go func() {
		defer e.running.Done()
		do()
	}()
}

// Drain hands the led cells over as soon as the log takes that down; until then
// nobody else could lead them. The instance still passes requests on.
func (e *Entry) Drain() {
	e.drain.Do(func() { close(e.draining) })
}

// AwaitHandOver returns when the instance leads no cell, or the error of ctx.
func (e *Entry) AwaitHandOver(ctx context.Context) error {
	for {
		changed := e.leaders.Changed()
		if len(e.leaders.table.Load().led) == 0 {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Stop ends everything that Start began.
func (e *Entry) Stop() {
	e.Drain()
	e.stop()
	e.running.Wait()
	e.leaders.close()
}

// Ready says whether the instance can serve: it has a manifest, knows the
// cells and is not draining.
func (e *Entry) Ready() bool {
	select {
	case <-e.draining:
		return false
	default:
	}
	return e.manifest.Load() != nil && e.leaders.reachable()
}

// Serve answers one request.
func (e *Entry) Serve(ctx context.Context, request jobapi.Request) jobapi.Answer {
	began := time.Now()
	answer := intake.Serve(ctx, began, e.manifest.Load(), e.leaders, request)
	took := time.Since(began)
	e.options.Metrics.Answered(uint8(request.Operation), uint8(answer.Verdict), took)
	if answer.Verdict != jobapi.OK || request.Operation != cellcodec.OpStatus {
		e.options.Journal.Request(logging.RequestLine{
			Operation: operationWord(request.Operation),
			Queue:     answer.Queue,
			Job:       string(answer.Job),
			Cell:      answer.Cell,
			Verdict:   verdictWord(answer.Verdict),
			Cause:     string(answer.Cause),
			Manifest:  answer.Manifest,
			Epoch:     e.leaders.epoch(answer.Cell),
			Took:      took,
		})
	}
	return answer
}

// LinkHandler accepts the links of other instances.
func (e *Entry) LinkHandler() http.Handler { return celllink.Handler(e.leaders) }

// Dump returns what the instance believes.
func (e *Entry) Dump() any { return e.leaders.dump() }

func operationWord(operation cellcodec.Operation) string {
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

func verdictWord(verdict jobapi.Verdict) string {
	switch verdict {
	case jobapi.OK:
		return "ok"
	case jobapi.NoQueue:
		return "no_queue"
	case jobapi.Absent:
		return "absent"
	case jobapi.NotRun:
		return "not_run"
	case jobapi.Bad:
		return "bad_request"
	}
	return "unknown"
}
