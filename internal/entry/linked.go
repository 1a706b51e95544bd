package entry

import (
	"time"

	"poplarvalve/internal/version/election"
)

// share is what a linked process last showed of its size.
type share struct {
	cores float64
	at    time.Time
}

// shareAge is how long a process that shows nothing counts as linked.
const shareAge = 2 * time.Second

// largest returns the largest share of a core of a linked process, or 0.
func (l *leaders) largest() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	largest := 0.0
	for nonce, shown := range l.shares {
		if time.Since(shown.at) > shareAge {
			delete(l.shares, nonce)
			continue
		}
		largest = max(largest, shown.cores)
	}
	return largest
}

// renewed returns what the leader of a term last showed of it.
func (l *leaders) renewed(cell int, epoch int64) (known election.Renewal, found bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known, found = l.renewals[cell]
	return known, found && known.Epoch == epoch
}

// Opened implements celllink.Server.
func (l *leaders) Opened() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inbound++
	l.most = max(l.most, l.inbound)
}

// Closed implements celllink.Server.
func (l *leaders) Closed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inbound--
	l.lastInbound = time.Now()
}

// isolated says whether all of several instances that kept a link have lost it.
func (l *leaders) isolated() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inbound == 0 && l.most >= isolationLinks && time.Since(l.lastInbound) > isolationTime
}

// rejoin forgets the links of the past, so that an instance that stays alone
// may lead.
func (l *leaders) rejoin() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.most = l.inbound
}

const (
	// isolationLinks is the number of lost links from which a leader takes
	// itself, and not the others, for cut off.
	isolationLinks = 2
	// isolationTime is how long a leader without links waits for one.
	isolationTime = 300 * time.Millisecond
)
