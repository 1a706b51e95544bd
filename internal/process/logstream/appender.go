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
	// defaultMaxQueueBytes and defaultMaxQueueCount limit the memory of the
	// queue during an outage of the log.
	defaultMaxQueueBytes = 8 << 20
	defaultMaxQueueCount = 10_000
	// defaultMaxCallBytes and defaultMaxCallCount limit the size of one append
	// call.
	defaultMaxCallBytes = 1 << 20
	defaultMaxCallCount = 512
	// defaultAppendTimeout is the timeout of one append call.
	defaultAppendTimeout = 2 * time.Second
	// defaultMinBackoff is the pause after the first failed call, of appenders
	// and followers.
	defaultMinBackoff = 100 * time.Millisecond
	// defaultMaxAppendBackoff is the longest pause between append calls.
	defaultMaxAppendBackoff = 2 * time.Second
)

// AppendRateLimit limits the append calls per second of all appenders that
// share it. Unused calls are not saved, so there is no burst of calls after an
// outage.
type AppendRateLimit struct{ limiter *rate.Limiter }

// NewAppendRateLimit returns a limit of perSecond append calls per second.
func NewAppendRateLimit(perSecond float64) *AppendRateLimit {
	return &AppendRateLimit{limiter: rate.NewLimiter(rate.Limit(perSecond), 1)}
}

// SetRate changes the limit to perSecond append calls per second.
func (l *AppendRateLimit) SetRate(perSecond float64) {
	l.limiter.SetLimit(rate.Limit(perSecond))
}

// AppenderOptions holds the limits of an Appender. Each field that is zero or
// nil gets a default value.
type AppenderOptions struct {
	// MaxQueueBytes and MaxQueueCount limit the total size and the number of
	// entries that are queued or in flight.
	MaxQueueBytes int
	MaxQueueCount int
	// MaxCallBytes and MaxCallCount limit the total size and the number of
	// entries of one append call. A single entry may be larger than
	// MaxCallBytes.
	MaxCallBytes int
	MaxCallCount int
	// CallTimeout is the timeout of one append call.
	CallTimeout time.Duration
	// MinBackoff and MaxBackoff limit the pause after a failed call. The pause
	// doubles with each failure.
	MinBackoff time.Duration
	MaxBackoff time.Duration
	// Jitter returns a number in [0, 1), by which the pauses are varied. The
	// default returns random numbers.
	Jitter func() float64
}

func (o *AppenderOptions) setDefaults() {
	setDefault(&o.MaxQueueBytes, defaultMaxQueueBytes)
	setDefault(&o.MaxQueueCount, defaultMaxQueueCount)
	setDefault(&o.MaxCallBytes, defaultMaxCallBytes)
	setDefault(&o.MaxCallCount, defaultMaxCallCount)
	setDefault(&o.CallTimeout, defaultAppendTimeout)
	setDefault(&o.MinBackoff, defaultMinBackoff)
	setDefault(&o.MaxBackoff, defaultMaxAppendBackoff)
	if o.Jitter == nil {
		o.Jitter = rand.Float64
	}
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Appender appends entries to one stream in the order in which they were added.
// While Run continues, each entry is appended at least once; an entry whose
// reply was lost is appended again with the same bytes. At most one append call
// is in flight, and the entries that are added in the meantime go into the next
// call. It is safe for concurrent use.
type Appender struct {
	log       Log
	clock     clock.Clock
	stream    ident.StreamName
	rateLimit *AppendRateLimit
	options   AppenderOptions
	wake      chan struct{}

	mu          sync.Mutex
	queue       [][]byte
	queuedBytes int
	failedCalls uint64
	calls       uint64
}

// NewAppender returns an appender that sends nothing until Run is called.
func NewAppender(log Log, clock clock.Clock, stream ident.StreamName, rateLimit *AppendRateLimit, options AppenderOptions) *Appender {
	options.setDefaults()
	return &Appender{
		log:       log,
		clock:     clock,
		stream:    stream,
		rateLimit: rateLimit,
		options:   options,
		wake:      make(chan struct{}, 1),
	}
}

// Add queues an entry, which must not be modified afterwards. It never waits.
// If the queue is full, it does not queue the entry and fails with Overloaded.
func (a *Appender) Add(entry []byte) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.queue) >= a.options.MaxQueueCount || a.queuedBytes+len(entry) > a.options.MaxQueueBytes {
		return fault.New(fault.Overloaded, "the append queue of stream %s is full: the log is slow or unreachable", a.stream)
	}
	a.queue = append(a.queue, entry)
	a.queuedBytes += len(entry)
	select {
	case a.wake <- struct{}{}:
	default:
	}
	return nil
}

// AppenderStats describes the queue and the calls of an appender. Queued and
// QueuedBytes are present values, Calls and FailedCalls are totals.
type AppenderStats struct {
	Queued      int
	QueuedBytes int
	Calls       uint64
	FailedCalls uint64
}

// Stats returns the current statistics.
func (a *Appender) Stats() AppenderStats {
	a.mu.Lock()
	defer a.mu.Unlock()
	return AppenderStats{Queued: len(a.queue), QueuedBytes: a.queuedBytes, Calls: a.calls, FailedCalls: a.failedCalls}
}

// Run appends the queued entries until ctx ends. Entries that are still queued
// then remain in the queue.
func (a *Appender) Run(ctx context.Context) {
	backoff := a.options.MinBackoff
	for a.waitForEntries(ctx) {
		if a.rateLimit.limiter.Wait(ctx) != nil {
			return
		}
		group := a.nextGroup()
		if a.appendGroup(ctx, group) {
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

// waitForEntries waits until the queue is not empty. It returns false if ctx
// ends before.
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

// nextGroup returns the entries for the next append call, at least one, from
// the head of the queue. They stay queued until their append has succeeded.
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

// appendGroup appends a group of entries, and removes it from the queue on
// success. It reports whether it succeeded.
func (a *Appender) appendGroup(ctx context.Context, group [][]byte) bool {
	callCtx, cancel := context.WithTimeout(ctx, a.options.CallTimeout)
	defer cancel()
	_, err := a.log.Append(callCtx, a.stream, group)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.calls++
	if err != nil {
		a.failedCalls++
		return false
	}
	for _, entry := range group {
		a.queuedBytes -= len(entry)
	}
	a.queue = append([][]byte(nil), a.queue[len(group):]...)
	return true
}

// sleep waits for the duration d. It returns false if ctx ends before.
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
