package workerlink

import (
	"context"
	"time"
)

// StopExtension lets no order extend the lease any more. LeaseEnd covers all leases that were
// granted before it returned.
func (s *Session) StopExtension() { s.bound.Store(true) }

// AllowExtension lets orders extend the lease again after StopExtension.
func (s *Session) AllowExtension() {
	s.bound.Store(false)
	notify(s.extendSignal)
}

// mayGrant records the end of a lease before the order that grants it is sent, and reports
// whether the order may grant it. The end is recorded first: a caller of StopExtension either
// finds it in LeaseEnd, or the lease is not granted.
func (s *Session) mayGrant(end time.Time) bool {
	if s.bound.Load() {
		return false
	}
	recordLatest(&s.leaseEnd, end)
	return !s.bound.Load()
}

// awaitExtension blocks while the lease must not be extended, but not for longer than a report
// may be late.
func (s *Session) awaitExtension(ctx context.Context) {
	if !s.bound.Load() {
		return
	}
	timer := time.NewTimer(busyWait)
	defer timer.Stop()
	select {
	case <-s.extendSignal:
	case <-s.resolveSignal:
	case <-timer.C:
	case <-ctx.Done():
	}
}
