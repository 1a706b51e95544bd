package entry

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"poplarvalve/internal/connection/cellcodec"
	"poplarvalve/internal/connection/workerlink"
	"poplarvalve/internal/process/boottime"
	"poplarvalve/internal/process/store"
	"poplarvalve/internal/version/cell"
	"poplarvalve/internal/version/election"
)

const (
	// tickPeriod is how often a leader looks at what depends on time alone.
	tickPeriod = 100 * time.Millisecond
	// registryPeriod is the time between two reads of the registry. With the
	// round trip it is well below the time within which a leaving worker must
	// get no more work.
	registryPeriod = 300 * time.Millisecond
	// eventQueue bounds the events that wait for the cell's goroutine.
	eventQueue = 4096
	// recoveryMargin covers the way of the last order of an earlier leader.
	recoveryMargin = 500 * time.Millisecond
)

// event is a change that the cell's goroutine applies.
type event func(now time.Time, c *cell.Cell)

// leadership is one term of one cell at this instance. One goroutine owns the
// cell; all others send it events.
type leadership struct {
	entry  *Entry
	term   election.Term
	cell   *cell.Cell
	writer *writer
	events chan event
	// over is closed when the term has ended here.
	over chan struct{}
	why  atomic.Pointer[error]
	end  context.CancelFunc

	// renewed is when the last claim or renewal was sent that the log has taken.
	renewed atomic.Pointer[boottime.Moment]
	// renewSoon asks for a renewal before the next is due.
	renewSoon chan struct{}
	// recordEnd is the offset after the newest renewal.
	recordEnd atomic.Int64

	sessions map[cell.WorkerID]*openSession

	requests atomic.Uint64
	waiting  sync.Map // request number to chan struct{}
	running  sync.WaitGroup
}

// openSession is the session with one worker and the address it goes to.
type openSession struct {
	*workerlink.Session
	address string
}

// lead leads a cell until the term is lost, given up or ctx ends. claimed is
// when the claim was sent.
func (e *Entry) lead(parent context.Context, held election.Term, claimed boottime.Moment) {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	l := &leadership{
		entry:    e,
		term:     held,
		writer:   newWriter(e.options.Log, held.Cell, held.Epoch),
		events:   make(chan event, eventQueue),
		over:     make(chan struct{}),
		end:      cancel,
		sessions: map[cell.WorkerID]*openSession{},

		renewSoon: make(chan struct{}, 1),
	}
	l.renewed.Store(&claimed)
	l.recordEnd.Store(held.End)
	l.spawn(func() { l.renew(ctx) })
	if err := l.recover(ctx); err != nil {
		e.options.Journal.Retry("recovery of "+cellName(held.Cell), err)
		l.finish(cancel)
		return
	}
	e.options.Journal.Leading(held.Cell, held.Epoch, true, nil)
	e.leaders.learnTerm(held)
	e.leaders.setLed(held.Cell, l)
	l.spawn(func() { l.writer.run(ctx) })
	l.spawn(func() { l.followRegistry(ctx) })
	l.run(ctx)
	e.leaders.setLed(held.Cell, nil)
	l.finish(cancel)
	e.options.Journal.Leading(held.Cell, held.Epoch, false, l.reason())
}

func (l *leadership) spawn(do func()) {
	l.running.Add(1)
	go func() {
		defer l.running.Done()
		do()
	}()
}

// finish ends all goroutines of the term, and answers what waits.
func (l *leadership) finish(cancel context.CancelFunc) {
	cancel()
	close(l.over)
	for _, session := range l.sessions {
		session.Close()
	}
	l.running.Wait()
}

func (l *leadership) lose(err error) {
	l.why.CompareAndSwap(nil, &err)
	l.end()
}

func (l *leadership) reason() error {
	if why := l.why.Load(); why != nil {
		return *why
	}
	return nil
}

// recover fences off earlier terms and reads what they stored.
func (l *leadership) recover(ctx context.Context) error {
	o := l.entry.options
	l.writer.failed = func(err error) { o.Journal.Retry("append", err) }
	if err := l.writer.fence(ctx); err != nil {
		return err
	}
	records, err := l.readRecords(ctx)
	if err != nil {
		return err
	}
	state, err := cellcodec.DecodeCell(records)
	if err != nil {
		return err
	}
	leaseEnd := min(o.Bounds.MaxLease, workerlink.Lease)
	l.cell = cell.New(cell.Config{
		Epoch:        l.term.Epoch,
		RecoveryWait: startAuthority - election.TermLease + leaseEnd + recoveryMargin,
		Lease:        leaseEnd + recoveryMargin,
		KeepEnded:    o.Bounds.KeepEnded,
		RemoteFactor: o.Bounds.RemoteFactor,
	})
	l.cell.Restore(time.Now(), state.Jobs, state.Progress, state.Workers)
	l.cell.RestoreLearned(state.Learned)
	l.writer.stored = func(number uint64, took time.Duration) {
		o.Metrics.Stored(took)
		l.post(func(_ time.Time, c *cell.Cell) { c.Stored(number) })
	}
	l.writer.lost = l.lose
	o.Journal.Recovered(l.term.Cell, l.term.Epoch, len(state.Jobs), len(state.Workers))
	return nil
}

// readTime bounds one reading of all records of a cell, which takes several
// calls to the log.
const readTime = 4 * callTimeout

// readRecords reads what earlier terms stored. It tries again while the term
// lasts: giving the term up would cost another election.
func (l *leadership) readRecords(ctx context.Context) ([]store.Record, error) {
	for {
		call, cancel := context.WithTimeout(ctx, readTime)
		records, _, err := l.entry.options.Log.Newest(call, l.writer.partition)
		cancel()
		if err == nil {
			return records, nil
		}
		if ctx.Err() != nil {
			return nil, fmt.Errorf("reading the records of the cell: %w", err)
		}
		l.writer.failed(err)
		sleep(ctx, writePause)
	}
}

// post hands an event to the cell's goroutine.
func (l *leadership) post(e event) {
	select {
	case l.events <- e:
	case <-l.over:
	}
}

// run applies events until the term ends.
func (l *leadership) run(ctx context.Context) {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		l.openSessions(ctx)
		l.perform(ctx, l.cell.Take(time.Now()))
		select {
		case e := <-l.events:
			e(time.Now(), l.cell)
			l.applyQueued()
		case <-ticker.C:
			l.tick()
		case <-ctx.Done():
			return
		}
	}
}

// applyQueued applies the events that wait already, so that one round of
// decisions serves all of them.
func (l *leadership) applyQueued() {
	for range eventQueue {
		select {
		case e := <-l.events:
			e(time.Now(), l.cell)
		default:
			return
		}
	}
}

func (l *leadership) tick() {
	now := time.Now()
	l.cell.SetStarting(l.sinceRenewal() < startAuthority)
	if !l.Authorized() {
		l.askToRenew()
	}
	l.cell.Tick(now)
	switch {
	case l.entry.leaders.epoch(l.term.Cell) > l.term.Epoch:
		l.lose(errTermOver)
	case l.entry.leaders.isolated():
		l.giveUp(errIsolated)
	case l.outsized(now):
		l.entry.handedOver.Store(now.UnixNano())
		l.giveUp(errOutsized)
	}
}

// outsized says whether a larger instance should lead the cell.
func (l *leadership) outsized(now time.Time) bool {
	return election.Leader{
		Workers:       l.cell.WorkerCount(),
		Share:         l.entry.options.CPUShare,
		Largest:       l.entry.leaders.largest(),
		SinceHandOver: now.Sub(time.Unix(0, l.entry.handedOver.Load())),
	}.Outsized()
}

var (
	errDraining = errors.New("the instance is draining")
	errIsolated = errors.New("no other instance reaches this one")
	errOutsized = errors.New("a larger instance should lead the cell")
)

// followRegistry tells the cell which workers are registered.
func (l *leadership) followRegistry(ctx context.Context) {
	follower := newRegistry(l.entry, l.term.Cell)
	for ctx.Err() == nil {
		infos, changed, err := follower.poll(ctx)
		if err == nil && changed {
			l.post(func(now time.Time, c *cell.Cell) { c.Register(now, infos) })
		}
		sleep(ctx, registryPeriod)
	}
}

// openSessions opens a session with each worker of the cell, and closes those
// of workers that are gone.
func (l *leadership) openSessions(ctx context.Context) {
	if !l.cell.WorkersChanged() {
		return
	}
	wanted := map[cell.WorkerID]bool{}
	for _, info := range l.cell.Workers() {
		wanted[info.ID] = true
		known := l.sessions[info.ID]
		if known != nil && known.address == info.Address {
			continue
		}
		if known != nil {
			known.Close()
		}
		token := l.term.Epoch * workerlink.TokensPerTerm
		session := workerlink.Open(ctx, info.ID, l.entry.options.DialWorker(info), l, token)
		l.sessions[info.ID] = &openSession{session, info.Address}
	}
	for id, session := range l.sessions {
		if !wanted[id] {
			session.Close()
			delete(l.sessions, id)
		}
	}
}

// Report implements workerlink.Sink.
func (l *leadership) Report(report cell.Report) {
	l.post(func(now time.Time, c *cell.Cell) { c.Report(now, report) })
}

// Silent implements workerlink.Sink.
func (l *leadership) Silent(worker cell.WorkerID, leaseUntil time.Time, err error) {
	l.entry.options.Journal.Retry("hold of "+string(worker), err)
	l.post(func(now time.Time, c *cell.Cell) { c.Silent(now, worker, leaseUntil) })
}

// StartResult implements workerlink.Sink.
func (l *leadership) StartResult(result cell.StartResult) {
	l.post(func(now time.Time, c *cell.Cell) { c.StartResult(now, result) })
}
