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
// A takeover's wait of one period and the margin covers every start of an
// earlier owner. Such a start names a lease whose grant was answered before
// the owner's last open fence check, so that lease is over at the worker by
// the end of the wait, however late the start is sent or arrives. A grant that
// arrives later creates a lease that no start names, since its owner finds its
// fence closed after the answer; identifiers are never used twice, so such a
// grant revives no earlier lease.
type Lease struct {
	ID ident.LeaseID
	// Until is when the last start may leave under the lease. It is counted
	// from before the grant was sent, so it is not after the end at the worker.
	Until time.Time
	// Over is when the lease is over at the worker in any case. It is counted
	// from the answer to the grant.
	Over time.Time
}

// leaseBook is what a session knows of its start leases. Its critical sections
// do no I/O.
type leaseBook struct {
	mu sync.Mutex
	// ready is whether new starts may use the newest lease.
	ready bool
	// closed is whether the worker was handed over.
	closed bool
	// newest is the lease granted last, or nil.
	newest *Lease
}

// grantLease asks for a start lease with a new identifier, unless no start will
// leave any more.
func (s *Session) grantLease(ctx context.Context) error {
	if s.handedOver() || s.Leaving() {
		return nil
	}
	if err := s.fenced(); err != nil {
		return err
	}
	id := s.nextLeaseID("start")
	sent := s.clock.Now()
	if err := s.requestLease(ctx, id, StartLeasePeriod); err != nil {
		return err
	}
	s.adopt(&Lease{
		ID:    id,
		Until: sent.Add(StartLeasePeriod),
		Over:  s.clock.Now().Add(StartLeasePeriod + ClockMargin),
	})
	return nil
}

// requestLease sends one grant.
func (s *Session) requestLease(ctx context.Context, id ident.LeaseID, period time.Duration) error {
	err := s.GrantLease(ctx, id, period)
	if fault.KindOf(err) == fault.WorkerLeaving {
		s.MarkLeaving()
	}
	return err
}

// adopt makes a granted lease the one for new starts.
func (s *Session) adopt(lease *Lease) {
	s.leases.mu.Lock()
	defer s.leases.mu.Unlock()
	if s.leases.closed {
		return
	}
	s.leases.newest = lease
	if s.leases.ready {
		s.lease.Store(lease)
	}
}

// leaseNumbers counts the lease identifiers of this process. A counter for
// each session would repeat identifiers when an incarnation loses a worker and
// gains it again.
var leaseNumbers atomic.Uint64

func (s *Session) nextLeaseID(use string) ident.LeaseID {
	return ident.LeaseID(fmt.Sprintf("%s-%s-%s-%d", s.holder, s.worker, use, leaseNumbers.Add(1)))
}

func (s *Session) handedOver() bool {
	s.leases.mu.Lock()
	defer s.leases.mu.Unlock()
	return s.leases.closed
}

// HandOver ends starts on the worker for good and returns when the last start
// lease is over there. Run leases are renewed until Run ends.
func (s *Session) HandOver() time.Time {
	s.leases.mu.Lock()
	defer s.leases.mu.Unlock()
	s.leases.closed = true
	s.leases.ready = false
	s.lease.Store(nil)
	if s.leases.newest == nil {
		return s.clock.Now()
	}
	return s.leases.newest.Over
}
