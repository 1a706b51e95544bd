package entry

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/connection/advice"
	"poplarvalve/internal/connection/cellcodec"
	"poplarvalve/internal/process/boottime"
	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/jobspec"
	"poplarvalve/internal/version/cell"
)

// testLeadership returns a leadership of an empty cell without a log or workers.
func testLeadership(t *testing.T) *leadership {
	now := boottime.Now()
	l := &leadership{
		entry:    testEntry(t),
		cell:     cell.New(cell.Config{EndedJobRetention: time.Minute}),
		writer:   newWriter(nil, 0, 1),
		events:   make(chan event, maxQueuedEvents),
		ended:    make(chan struct{}),
		sessions: map[cell.WorkerID]*openSession{},
		fencedBy: map[cell.WorkerID]bool{},
	}
	l.lastRenewal.Store(&now)
	l.confirmation.start(nil)
	return l
}

// An unexpected error in one event must cost the term of one cell, which another
// instance then leads, and not the process with all its cells, links and callers.
func TestPanicInEventEndsTermOnly(t *testing.T) {
	l := testLeadership(t)
	ctx, cancel := context.WithCancel(context.Background())
	l.cancel = cancel
	l.post(func(time.Time, *cell.Cell) { panic("index out of range") })
	l.runContained(ctx)
	assert.Equal(t, fault.KindOf(l.reason()), fault.Internal)
	assert.ErrorContains(t, l.reason(), "index out of range")
	assert.Assert(t, ctx.Err() != nil, "the goroutines of the term go on")
}

// panickingAdvice is an advice service whose client has a fault.
type panickingAdvice struct{}

func (panickingAdvice) AllowedWorkers(context.Context, cell.StepID, []cell.WorkerID) (advice.Answer, error) {
	panic("index out of range")
}

// Guards against an unexpected error in a call for one step that ends the process.
func TestPanicInCallOfTermEndsTermOnly(t *testing.T) {
	l := testLeadership(t)
	l.entry.options.Advice = panickingAdvice{}
	ctx, cancel := context.WithCancel(context.Background())
	l.cancel = cancel
	l.applyEffects(ctx, cell.Effects{Advice: []cell.AdviceRequest{{Workers: []cell.WorkerID{"w"}}}})
	l.goroutines.Wait()
	assert.Equal(t, fault.KindOf(l.reason()), fault.Internal)
}

// Another instance may run another version or send a message that was damaged. A job
// with impossible dependencies must be refused before it reaches the cell, where it
// would end the term at each leader in turn.
func TestMalformedJobOfPeerIsRefused(t *testing.T) {
	terms := &cell.QueueTerms{Queue: "q", Pool: "pool"}
	valid := jobspec.ID("00000000000000aa")
	for _, call := range []cellcodec.Call{
		{Operation: cellcodec.OpSubmit, ID: valid, Terms: terms, Job: &jobspec.Job{Steps: []jobspec.Step{{Count: 1, DependsOn: []int{5}}}}},
		{Operation: cellcodec.OpSubmit, ID: valid, Terms: terms, Job: &jobspec.Job{Steps: []jobspec.Step{{Count: -1}}}},
		{Operation: cellcodec.OpSubmit, ID: "short", Terms: terms, Job: &jobspec.Job{Steps: []jobspec.Step{{Count: 1}}}},
	} {
		l := testLeadership(t)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		reply := l.serve(ctx, call)
		cancel()
		assert.Equal(t, reply.Result, cellcodec.Refused)
		assert.Equal(t, len(l.events), 0)
	}
}

// A state that this version does not know must not crash the encoding of an answer.
func TestUnknownJobStateHasName(t *testing.T) {
	assert.Equal(t, cell.State(77).String(), "unknown")
}
