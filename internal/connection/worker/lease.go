package worker

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
)

// Lease is a granted start lease. It is immutable and never renewed.
//
// A takeover waits for one start lease period and the clock margin. That wait
// covers every start of an earlier owner: a start names a lease whose grant was
// answered before the owner last found its fence open, so that lease has ended
// at the worker by the end of the wait, however late the start is sent or
// arrives. A grant that arrives later creates a lease that no start names,
// because its owner finds its fence closed after the answer. Identifiers are
// never used twice, so such a grant does not revive an earlier lease.
type Lease struct {
	ID ident.LeaseID
	// LastStart is the time until which a start may be sent under the lease. It
	// is counted from before the grant was sent, so it is not after the end of
	// the lease at the worker.
	LastStart time.Time
	// EndedAtWorker is the time by which the lease has certainly ended at the
	// worker. It is counted from the answer to the grant.
	EndedAtWorker time.Time
}

// startLeases is the state of a session's start leases. No I/O is done while mu
// is held.
type startLeases struct {
	mu sync.Mutex
	// ready is whether new starts may use the newest lease.
	ready bool
	// stopped is whether StopStarts was called.
	stopped bool
	// newest is the lease granted last, or nil.
	newest *Lease
}

// grantStartLease requests a start lease with a new identifier. It does nothing
// after StopStarts or while the worker is leaving, because no further start will
// be sent then.
func (s *Session) grantStartLease(ctx context.Context) error {
	if s.startsStopped() || s.Leaving() {
		return nil
	}
	if err := s.checkFence(); err != nil {
		return err
	}
	id := s.nextLeaseID("start")
	sent := s.clock.Now()
	if err := s.requestLease(ctx, id, StartLeasePeriod); err != nil {
		return err
	}
	s.setNewestLease(&Lease{
		ID:            id,
		LastStart:     sent.Add(StartLeasePeriod),
		EndedAtWorker: s.clock.Now().Add(StartLeasePeriod + ClockMargin),
	})
	return nil
}

// requestLease sends one grant to the worker. It marks the worker as leaving if
// the worker refuses for that reason.
func (s *Session) requestLease(ctx context.Context, id ident.LeaseID, period time.Duration) error {
	err := s.RequestLease(ctx, id, period)
	if fault.KindOf(err) == fault.WorkerLeaving {
		s.MarkLeaving()
	}
	return err
}

// setNewestLease makes a granted lease the one for new starts.
func (s *Session) setNewestLease(lease *Lease) {
	s.startLeases.mu.Lock()
	defer s.startLeases.mu.Unlock()
	if s.startLeases.stopped {
		return
	}
	s.startLeases.newest = lease
	if s.startLeases.ready {
		s.usableStartLease.Store(lease)
	}
}

// lastLeaseNumber counts the lease identifiers of this process. A counter per
// session would repeat identifiers when an incarnation loses a worker and gains
// it again.
var lastLeaseNumber atomic.Uint64

func (s *Session) nextLeaseID(purpose string) ident.LeaseID {
	return ident.LeaseID(fmt.Sprintf("%s-%s-%s-%d", s.holder, s.worker, purpose, lastLeaseNumber.Add(1)))
}

func (s *Session) startsStopped() bool {
	s.startLeases.mu.Lock()
	defer s.startLeases.mu.Unlock()
	return s.startLeases.stopped
}

// StopStarts permanently stops starts on the worker. It returns the time by
// which the last start lease has ended there. Run leases are still renewed until
// Run ends.
func (s *Session) StopStarts() time.Time {
	s.startLeases.mu.Lock()
	defer s.startLeases.mu.Unlock()
	s.startLeases.stopped = true
	s.startLeases.ready = false
	s.usableStartLease.Store(nil)
	if s.startLeases.newest == nil {
		return s.clock.Now()
	}
	return s.startLeases.newest.EndedAtWorker
}
