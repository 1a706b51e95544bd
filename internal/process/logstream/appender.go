package logstream

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"poplarvalve/internal/process/clock"
	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
)

const (
	// maxQueueBytes and maxQueueCount bound the memory of a queue in an outage.
	maxQueueBytes = 8 << 20
	maxQueueCount = 10_000
	// maxCallBytes and maxCallCount bound one append call.
	maxCallBytes = 1 << 20
	maxCallCount = 512
	// appendTimeout bounds one append call.
	appendTimeout = 2 * time.Second
	// minBackoff is the first pause after a failed call.
	minBackoff = 100 * time.Millisecond
	// maxAppendBackoff is the longest pause between append calls.
	maxAppendBackoff = 2 * time.Second
)

// Budget bounds the append calls per second of all appenders that share it. It
// saves up no unused calls, so nothing goes out in a burst after an outage.
type Budget struct{ limiter *rate.Limiter }

// NewBudget returns a budget in append calls per second.
func NewBudget(perSecond float64) *Budget {
	return &Budget{limiter: rate.NewLimiter(rate.Limit(perSecond), 1)}
}

// SetRate changes the budget, in append calls per second.
func (b *Budget) SetRate(perSecond float64) {
	b.limiter.SetLimit(rate.Limit(perSecond))
}

// AppenderOptions are the limits of an Appender; zero takes the default.
type AppenderOptions struct {
	// MaxQueueBytes and MaxQueueCount bound the entries that wait or are in flight.
	MaxQueueBytes int
	MaxQueueCount int
	// MaxCallBytes and MaxCallCount bound the entries of one append call.
	MaxCallBytes int
	MaxCallCount int
	// CallTimeout bounds one append call.
	CallTimeout time.Duration
	// MinBackoff and MaxBackoff bound the pause after a failed call.
	MinBackoff time.Duration
	MaxBackoff time.Duration
	// Jitter returns a number in [0, 1).
	Jitter func() float64
}

func (o *AppenderOptions) setDefaults() {
	setDefault(&o.MaxQueueBytes, maxQueueBytes)
	setDefault(&o.MaxQueueCount, maxQueueCount)
	setDefault(&o.MaxCallBytes, maxCallBytes)
	setDefault(&o.MaxCallCount, maxCallCount)
	setDefault(&o.CallTimeout, appendTimeout)
	setDefault(&o.MinBackoff, minBackoff)
	setDefault(&o.MaxBackoff, maxAppendBackoff)
	if o.Jitter == nil {
		o.Jitter = rand.Float64
	}
}

func setDefault[T comparable](field *T, value T) {
	var unset T
	if *field == unset {
		*field = value
	}
}

// Appender appends the entries of one stream in the order they were added.
// Each added entry is appended at least once while Run goes on; an entry whose
// reply was lost is appended again with the same bytes. At most one append is
// in flight, and what gathers meanwhile goes into the next.
type Appender struct {
	log     Log
	clock   clock.Clock
	stream  ident.StreamName
	budget  *Budget
	options AppenderOptions
	wake    chan struct{}

	mu     sync.Mutex
	queue  [][]byte
	bytes  int
	failed uint64
	calls  uint64
}

// NewAppender returns an appender that sends nothing until Run.
func NewAppender(log Log, clock clock.Clock, stream ident.StreamName, budget *Budget, options AppenderOptions) *Appender {
	options.setDefaults()
	return &Appender{
		log:     log,
		clock:   clock,
		stream:  stream,
		budget:  budget,
		options: options,
		wake:    make(chan struct{}, 1),
	}
}

// Add queues an entry, which must not be modified afterwards. It never waits.
// The failure is Overloaded if the queue is full; the entry is then not queued.
func (a *Appender) Add(entry []byte) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.queue) >= a.options.MaxQueueCount || a.bytes+len(entry) > a.options.MaxQueueBytes {
		return fault.New(fault.Overloaded, "append queue of stream %s is full", a.stream)
	}
	a.queue = append(a.queue, entry)
	a.bytes += len(entry)
	select {
	case a.wake <- struct{}{}:
	default:
	}
	return nil
}

// AppenderStats counts the work of an appender.
type AppenderStats struct {
	Queued      int
	QueuedBytes int
	Calls       uint64
	FailedCalls uint64
}

// Stats returns the counts so far.
func (a *Appender) Stats() AppenderStats {
	a.mu.Lock()
	defer a.mu.Unlock()
	return AppenderStats{Queued: len(a.queue), QueuedBytes: a.bytes, Calls: a.calls, FailedCalls: a.failed}
}

// Run appends until ctx ends. Entries that are queued then stay queued.
func (a *Appender) Run(ctx context.Context) {
	backoff := a.options.MinBackoff
	for a.waitForEntries(ctx) {
		if a.budget.limiter.Wait(ctx) != nil {
			return
		}
		group := a.nextGroup()
		if a.call(ctx, group) {
			backoff = a.options.MinBackoff
			continue
		}
		pause := time.Duration(float64(backoff) * (0.5 + a.options.Jitter()/2))
		if !sleep(ctx, a.clock, pause) {
			return
		}
		backoff = min(2*backoff, a.options.MaxBackoff)
	}
}

// waitForEntries reports false when ctx ended.
func (a *Appender) waitForEntries(ctx context.Context) bool {
	for {
		a.mu.Lock()
		queued := len(a.queue)
		a.mu.Unlock()
		if ctx.Err() != nil {
			return false
		}
		if queued > 0 {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-a.wake:
		}
	}
}

// nextGroup returns the head of the queue, at least one entry. The entries stay
// queued until their append has succeeded.
func (a *Appender) nextGroup() [][]byte {
	a.mu.Lock()
	defer a.mu.Unlock()
	size := 0
	count := 0
	for _, entry := range a.queue[:min(len(a.queue), a.options.MaxCallCount)] {
		size += len(entry)
		if count > 0 && size > a.options.MaxCallBytes {
			break
		}
		count++
	}
	return a.queue[:count:count]
}

// call appends a group and takes it off the queue on success.
func (a *Appender) call(ctx context.Context, group [][]byte) bool {
	callCtx, cancel := context.WithTimeout(ctx, a.options.CallTimeout)
	defer cancel()
	_, err := a.log.Append(callCtx, a.stream, group)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.calls++
	if err != nil {
		a.failed++
		return false
	}
	for _, entry := range group {
		a.bytes -= len(entry)
	}
	a.queue = append([][]byte(nil), a.queue[len(group):]...)
	return true
}

// sleep reports false when ctx ended before d passed.
func sleep(ctx context.Context, clock clock.Clock, d time.Duration) bool {
	timer := clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
