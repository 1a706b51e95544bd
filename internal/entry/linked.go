package entry

import (
	"time"

	"poplarvalve/internal/version/election"
	"poplarvalve/internal/version/statebudget"
)

// reportedCPUShare is the CPU share that a linked process last reported, and when.
type reportedCPUShare struct {
	cores      float64
	reportedAt time.Time
}

// cpuShareMaxAge is how long a process counts as linked after its last heartbeat.
const cpuShareMaxAge = 2 * time.Second

// largestCPUShare returns the largest CPU share, in cores, of a linked process, or 0
// if no process is linked.
func (l *leaderDirectory) largestCPUShare() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	largest := 0.0
	for nonce, report := range l.cpuShares {
		if time.Since(report.reportedAt) > cpuShareMaxAge {
			delete(l.cpuShares, nonce)
			continue
		}
		largest = max(largest, report.cores)
	}
	return largest
}

// noteMemory records the memory of an instance that may lead next, in megabytes.
func (l *leaderDirectory) noteMemory(memoryMB int) {
	for memoryMB > 0 {
		smallest := l.smallestMemoryMB.Load()
		if int64(memoryMB) >= smallest || l.smallestMemoryMB.CompareAndSwap(smallest, int64(memoryMB)) {
			return
		}
	}
}

// stateLimits returns the limits of a cell that each instance which this process has heard of can
// restore.
func (l *leaderDirectory) stateLimits() statebudget.Limits {
	return statebudget.LimitsFor(int(l.smallestMemoryMB.Load()))
}

// countLinksOfLeader starts to count the links of an instance that leads. Those of an instance
// that doesn't lead say nothing: it may have been linked only by a leader that announced its
// term.
func (l *leaderDirectory) countLinksOfLeader() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.maxInboundLinks = max(l.maxInboundLinks, l.inboundLinks)
}

// reportedRenewal returns the renewal that the leader of a term last reported.
func (l *leaderDirectory) reportedRenewal(cell int, epoch int64) (renewal election.Renewal, found bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	renewal, found = l.renewals[cell]
	return renewal, found && renewal.Epoch == epoch
}

// LinkOpened implements celllink.Server. It counts a link that another instance has
// opened to this one.
func (l *leaderDirectory) LinkOpened() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inboundLinks++
	if len(l.table.Load().ledHere) > 0 {
		l.maxInboundLinks = max(l.maxInboundLinks, l.inboundLinks)
	}
}

// LinkClosed implements celllink.Server. It counts down a link that another instance
// had opened and records the time.
func (l *leaderDirectory) LinkClosed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inboundLinks--
	l.lastInboundClosed = time.Now()
}

// UnexpectedError implements celllink.Server. It logs the error.
func (l *leaderDirectory) UnexpectedError(where string, err error) {
	l.entry.options.Journal.UnexpectedError(where, err)
}

// isolated reports whether no other instance reaches this one: at least
// minLostLinksForIsolation links were open, all of them are lost, and none has come
// back within isolationDelay.
func (l *leaderDirectory) isolated() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inboundLinks == 0 && l.maxInboundLinks >= minLostLinksForIsolation && time.Since(l.lastInboundClosed) > isolationDelay
}

// resetIsolation forgets the links that were lost, so that an instance that no
// other reaches may lead again.
func (l *leaderDirectory) resetIsolation() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.maxInboundLinks = l.inboundLinks
}

const (
	// minLostLinksForIsolation is the number of lost links from which an instance
	// assumes that it is cut off itself, rather than the others.
	minLostLinksForIsolation = 2
	// isolationDelay is how long an instance that has lost all links waits for a
	// new one before it counts as isolated.
	isolationDelay = 300 * time.Millisecond
)
