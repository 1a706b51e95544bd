package overload

import "time"

// Pacer chooses the waits of refused callers, so that they return one after another as there is
// capacity for their jobs, and not together. The zero value is ready for use.
type Pacer struct {
	// next is when there is capacity for the next of them.
	next time.Time
}

const (
	// MinWait and MaxWait are the bounds of a wait. MaxWait lets a caller that returns four
	// times outlast a burst of half a minute.
	MinWait = time.Second
	MaxWait = 15 * time.Second
	// returnFactor spaces the returns out so that they ask for half of the capacity; the other
	// half is left to new jobs.
	returnFactor = 2
	// spreadSteps is the number of different waits over which callers are spread.
	spreadSteps = 1 << 16
)

// Wait returns the wait of the caller of a job that was refused because it would have been too
// late by excess, and for which the whole capacity would be needed for a time. spread is a hash
// of the job: with as many refusals as fill MaxWait, callers are spread over the second half of
// it.
func (p *Pacer) Wait(now time.Time, excess, need time.Duration, spread uint64) time.Duration {
	need = min(need, MaxWait)
	if earliest := now.Add(MinWait + min(max(0, excess), MaxWait)); p.next.Before(earliest) {
		p.next = earliest
	}
	if latest := now.Add(MaxWait); p.next.Add(returnFactor * need).After(latest) {
		p.next = latest
		return MaxWait - time.Duration(float64(MaxWait)/2*float64(spread%spreadSteps)/spreadSteps)
	}
	p.next = p.next.Add(returnFactor * need)
	return p.next.Sub(now)
}
