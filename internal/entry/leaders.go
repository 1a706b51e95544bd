package entry

import (
	"cmp"
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"

	"poplarvalve/internal/connection/cellcodec"
	"poplarvalve/internal/connection/celllink"
	"poplarvalve/internal/process/jobspec"
	"poplarvalve/internal/process/publish"
	"poplarvalve/internal/version/election"
	"poplarvalve/internal/version/manifest"
)

// leaderTable is one immutable version of the known cells and leaders.
type leaderTable struct {
	// version increases with each change.
	version   uint64
	cellCount int
	byCell    map[int]cellcodec.Leader
	// ledHere holds the cells that this instance leads.
	ledHere map[int]*leadership
	// sources holds the instances that hand manifests on.
	sources cellcodec.ManifestSources
	// readEpochs holds the epoch of the newest term of each cell that this process has
	// read from the log, or has heard of since.
	readEpochs map[int]int64
}

// leaderDirectory knows the leader of each cell and keeps the links to the leaders.
// It exchanges its knowledge with other instances by the heartbeats on each link.
type leaderDirectory struct {
	entry *Entry
	table *publish.Value[leaderTable]
	// voters holds what other instances confirm.
	voters *voterDirectory
	// manifestMissing is published to when another instance is first known to have a newer
	// manifest.
	manifestMissing *publish.Value[struct{}]
	// handOnBudget limits the rate at which manifests are sent to other instances.
	handOnBudget *rate.Limiter
	// heartbeatRequests is published to when a heartbeat must be sent on all links
	// before the next periodic one.
	heartbeatRequests *publish.Value[struct{}]

	mu    sync.Mutex
	links map[string]*celllink.Link
	// renewals holds the renewal that the leader of each cell last reported.
	renewals map[int]election.Renewal
	// manifestPull decides when to ask another instance for its manifest, and
	// manifestSupply when to read it from the log.
	manifestPull   manifest.Pull
	manifestSupply manifest.Supply
	missing        missingManifest
	// manifestParts holds the parts of a manifest that have arrived.
	manifestParts cellcodec.ManifestAssembly
	// cpuShares holds, by nonce, the part of a core that each linked process may
	// use.
	cpuShares map[uint64]reportedCPUShare
	// inboundLinks is the number of links that other instances keep to this one
	// and maxInboundLinks the highest number while this instance led, since the last
	// resetIsolation.
	// lastInboundClosed is the time at which such a link was last closed.
	inboundLinks    int
	maxInboundLinks int
	// smallestMemoryMB is the smallest memory of this instance and those that it has heard of, in
	// megabytes. It never grows: an instance that is away for a while may lead when it is back.
	smallestMemoryMB  atomic.Int64
	lastInboundClosed time.Time
}

func newLeaderDirectory(e *Entry) *leaderDirectory {
	l := &leaderDirectory{
		entry:             e,
		table:             publish.New(&leaderTable{byCell: map[int]cellcodec.Leader{}, ledHere: map[int]*leadership{}, readEpochs: map[int]int64{}}),
		voters:            newVoterDirectory(),
		manifestMissing:   publish.New[struct{}](nil),
		handOnBudget:      rate.NewLimiter(handOnBytesPerSecond, handOnBurst),
		heartbeatRequests: publish.New[struct{}](nil),
		links:             map[string]*celllink.Link{},
		renewals:          map[int]election.Renewal{},
		cpuShares:         map[uint64]reportedCPUShare{},
	}
	l.smallestMemoryMB.Store(int64(cmp.Or(e.options.MemoryMB, unlimitedMemoryMB)))
	return l
}

// unlimitedMemoryMB stands for the memory of an instance whose options don't state it.
const unlimitedMemoryMB = 1 << 20

// updateTable publishes a modified copy of the table and sends a heartbeat on all
// links, unless modify returns false.
func (l *leaderDirectory) updateTable(modify func(next *leaderTable) bool) {
	changed := false
	l.table.Update(func(current *leaderTable) *leaderTable {
		next := &leaderTable{current.version + 1, current.cellCount, maps.Clone(current.byCell), maps.Clone(current.ledHere), current.sources, maps.Clone(current.readEpochs)}
		if !modify(next) {
			return current
		}
		changed = true
		return next
	})
	if changed {
		l.notifyLinks()
	}
}

// recordLeader records the leader of a term unless a later term is known. A leader
// without an address has given up its term.
func (l *leaderDirectory) recordLeader(leader cellcodec.Leader) {
	isNewer := false
	l.updateTable(func(next *leaderTable) bool {
		known := next.byCell[leader.Cell]
		gaveUp := known.Epoch == leader.Epoch && leader.Address == "" && known.Address != ""
		isNewer = known.Epoch < leader.Epoch || gaveUp
		next.byCell[leader.Cell] = leader
		return isNewer
	})
	if isNewer {
		l.entry.options.Journal.LeaderChanged(leader.Cell, leader.Epoch, leader.Address)
	}
}

func (l *leaderDirectory) recordTerm(t election.Term) {
	l.recordLeader(cellcodec.Leader{Cell: t.Cell, Epoch: t.Epoch, Address: t.Holder.Address, Nonce: t.Holder.Nonce})
}

func (l *leaderDirectory) setCellCount(cells int) {
	l.updateTable(func(next *leaderTable) bool {
		if next.cellCount == cells {
			return false
		}
		next.cellCount = cells
		return true
	})
}

// setLeadership records that this instance leads a cell, or with nil that it no
// longer does.
func (l *leaderDirectory) setLeadership(cell int, led *leadership) {
	l.updateTable(func(next *leaderTable) bool {
		if led == nil {
			delete(next.ledHere, cell)
		} else {
			next.ledHere[cell] = led
		}
		return true
	})
	if led != nil {
		l.countLinksOfLeader()
	}
}

// recordRead records the epoch of the newest term of a cell that this process has read from
// the log, also if the term was released. An instance confirms no term before that: an
// earlier process at its address may have confirmed a later one.
func (l *leaderDirectory) recordRead(cell int, epoch int64) {
	if known, read := l.table.Load().readEpochs[cell]; read && known >= epoch {
		return
	}
	l.updateTable(func(next *leaderTable) bool {
		known, read := next.readEpochs[cell]
		next.readEpochs[cell] = max(known, epoch)
		return !read || known < epoch
	})
}

// hasRead reports whether this process has read the term of a cell from the log.
func (l *leaderDirectory) hasRead(cell int) bool {
	_, read := l.table.Load().readEpochs[cell]
	return read
}

// recordHeard records the epoch of a term that another instance knows. It has no effect
// before the first recordRead.
func (l *leaderDirectory) recordHeard(term cellcodec.KnownTerm) {
	if known, read := l.table.Load().readEpochs[term.Cell]; read && known < term.Epoch {
		l.recordRead(term.Cell, term.Epoch)
	}
}

// newestKnownEpoch returns the epoch of the newest term of a cell that this instance knows,
// whether it was released or not.
func (l *leaderDirectory) newestKnownEpoch(cell int) int64 {
	return l.table.Load().newestKnownEpoch(cell)
}

func (t *leaderTable) newestKnownEpoch(cell int) int64 {
	return max(t.byCell[cell].Epoch, t.readEpochs[cell])
}

// knownTerms returns the terms that this instance may confirm.
func (t *leaderTable) knownTerms() []cellcodec.KnownTerm {
	var terms []cellcodec.KnownTerm
	for cell := range t.readEpochs {
		terms = append(terms, cellcodec.KnownTerm{Cell: cell, Epoch: t.newestKnownEpoch(cell)})
	}
	return terms
}

// notifyLinks makes each link send a heartbeat at once.
func (l *leaderDirectory) notifyLinks() { l.heartbeatRequests.Publish(nil) }

// HeartbeatDue implements celllink.Server. The channel is closed by notifyLinks.
func (l *leaderDirectory) HeartbeatDue() <-chan struct{} { return l.heartbeatRequests.Changed() }

// Cells implements intake.Leaders. It returns 0 while the number is not known.
func (l *leaderDirectory) Cells() int { return l.table.Load().cellCount }

// CellOf implements intake.Leaders. The cell follows from a hash of the job's ID.
func (l *leaderDirectory) CellOf(id jobspec.ID, cells int) int { return cellOf(string(id), cells) }

// cellOf returns the cell of a job or a worker, by a hash of its name that spreads
// them evenly over the cells.
func cellOf(name string, cells int) int {
	return int(xxhash.Sum64String(name) % uint64(cells))
}

// canReachAllLeaders reports whether the number of cells is known and the instance
// leads each cell or has a live link to its leader.
func (l *leaderDirectory) canReachAllLeaders() bool {
	table := l.table.Load()
	for number := range table.cellCount {
		if table.ledHere[number] == nil && l.liveLink(table.byCell[number].Address) == nil {
			return false
		}
	}
	return table.cellCount > 0
}

// HasAdviceService implements intake.Leaders. It reports whether an advice service is
// configured.
func (l *leaderDirectory) HasAdviceService() bool { return l.entry.options.Advice != nil }

// Changed implements intake.Leaders. The channel is closed when the table changes.
func (l *leaderDirectory) Changed() <-chan struct{} { return l.table.Changed() }

// knownEpoch returns the epoch of the newest known term of a cell, or 0.
func (l *leaderDirectory) knownEpoch(cell int) int64 { return l.table.Load().byCell[cell].Epoch }

// Call implements intake.Leaders. It executes the call here if this instance leads
// the cell, and otherwise sends it to the leader. sent is false if no leader or no
// link to it is known.
func (l *leaderDirectory) Call(ctx context.Context, call cellcodec.Call) (reply cellcodec.Reply, sent bool) {
	table := l.table.Load()
	if led := table.ledHere[call.Cell]; led != nil {
		return led.serve(ctx, call), true
	}
	leader, known := table.byCell[call.Cell]
	if !known || leader.Address == "" {
		return cellcodec.Reply{}, false
	}
	link := l.liveLink(leader.Address)
	if link == nil {
		return cellcodec.Reply{}, false
	}
	return link.Call(ctx, call)
}

// liveLink returns the live link to an address, or nil if there is none.
func (l *leaderDirectory) liveLink(address string) *celllink.Link {
	l.mu.Lock()
	defer l.mu.Unlock()
	link := l.links[address]
	if link == nil {
		return nil
	}
	if link.Closed() {
		delete(l.links, address)
		return nil
	}
	return link
}

// dialLink returns the live link to an address and opens one if there is none.
func (l *leaderDirectory) dialLink(ctx context.Context, address string) (*celllink.Link, error) {
	if link := l.liveLink(address); link != nil {
		return link, nil
	}
	link, err := celllink.Dial(ctx, l.entry.options.LinkDialer, address, l)
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if earlier := l.links[address]; earlier != nil && !earlier.Closed() {
		link.Close() // The loop of another cell has dialed the same instance meanwhile.
		return earlier, nil
	}
	l.links[address] = link
	return link, nil
}

func (l *leaderDirectory) close() {
	l.mu.Lock()
	links := maps.Clone(l.links)
	l.mu.Unlock()
	for _, link := range links {
		link.Close()
	}
}

// Serve implements celllink.Server. A call for a cell that this instance does not
// lead is refused with NotLeader and never forwarded.
func (l *leaderDirectory) Serve(ctx context.Context, call cellcodec.Call) cellcodec.Reply {
	led := l.table.Load().ledHere[call.Cell]
	if led == nil {
		return cellcodec.Reply{Result: cellcodec.NotLeader}
	}
	return led.serve(ctx, call)
}

// NextHeartbeat implements celllink.Server. It includes the known leaders only if they
// have changed since the last heartbeat on the link. With hundreds of instances,
// leaders in every heartbeat would fill the link between regions. The manifest is sent
// on request only, for the same reason.
func (l *leaderDirectory) NextHeartbeat(remote celllink.RemoteManifest, lastVersion uint64) (heartbeat cellcodec.LinkHeartbeat, version uint64) {
	table := l.table.Load()
	heartbeat = cellcodec.LinkHeartbeat{Cells: table.cellCount, Nonce: l.entry.options.Self.Nonce, CPUShare: l.entry.options.CPUShare, MemoryMB: l.entry.options.MemoryMB, KnownTerms: table.knownTerms()}
	if lastVersion == 0 {
		heartbeat.Sender = &election.Voter{Address: l.entry.options.Self.Address, Zone: l.entry.options.Zone}
	}
	if table.version != lastVersion {
		if sources := table.sources; sources.Epoch > 0 {
			heartbeat.ManifestSources = &sources
		}
		for _, leader := range table.byCell {
			heartbeat.Leaders = append(heartbeat.Leaders, leader)
		}
	}
	for number, led := range table.ledHere {
		heartbeat.LedTerms = append(heartbeat.LedTerms, cellcodec.LedTerm{
			Cell: number, Epoch: led.term.Epoch, EndOffset: led.renewalEndOffset.Load(),
			RenewalAgeMillis: led.sinceRenewal().Milliseconds(),
		})
	}
	l.addManifest(&heartbeat, remote)
	return heartbeat, table.version
}

// WantsConfirmation implements celllink.Server. Only a leader that may soon depend on the
// voters asks for confirmations, since they take as many bytes as a heartbeat without.
func (l *leaderDirectory) WantsConfirmation() bool {
	for _, led := range l.table.Load().ledHere {
		if led.needsConfirmation() {
			return true
		}
	}
	return false
}

// HandleHeartbeat implements celllink.Server. It records what another instance knows
// about cells, leaders and the manifest.
func (l *leaderDirectory) HandleHeartbeat(heartbeat cellcodec.LinkHeartbeat, echoed time.Time) {
	if heartbeat.Cells > 0 && heartbeat.Cells <= election.MaxCells && l.Cells() == 0 {
		l.setCellCount(heartbeat.Cells)
	}
	for _, leader := range heartbeat.Leaders {
		l.recordLeader(leader)
	}
	for _, term := range heartbeat.KnownTerms {
		l.recordHeard(term)
	}
	l.voters.record(time.Now(), heartbeat, echoed)
	l.mu.Lock()
	l.noteMemory(heartbeat.MemoryMB)
	l.cpuShares[heartbeat.Nonce] = reportedCPUShare{heartbeat.CPUShare, time.Now()}
	for _, ledTerm := range heartbeat.LedTerms {
		if l.renewals[ledTerm.Cell].Epoch <= ledTerm.Epoch {
			age := time.Duration(ledTerm.RenewalAgeMillis) * time.Millisecond
			l.renewals[ledTerm.Cell] = election.Renewal{Epoch: ledTerm.Epoch, EndOffset: ledTerm.EndOffset, SentAt: time.Now().Add(-age)}
		}
	}
	l.mu.Unlock()
	l.handleManifest(time.Now(), heartbeat)
}

// dump returns the known cells and leaders, and the state of the cells that this
// instance leads.
func (l *leaderDirectory) dump() map[string]any {
	table := l.table.Load()
	state := map[string]any{"cells": table.cellCount, "leaders": table.byCell, "manifest_sources": table.sources.ByZone}
	for number, led := range table.ledHere {
		state[cellName(number)] = led.dump()
	}
	return state
}
