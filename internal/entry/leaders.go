package entry

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"poplarvalve/internal/connection/cellcodec"
	"poplarvalve/internal/connection/celllink"
	"poplarvalve/internal/process/jobspec"
	"poplarvalve/internal/process/publish"
	"poplarvalve/internal/version/election"
)

// leaderTable is one version of what is known about leaders.
type leaderTable struct {
	// version rises with each change.
	version uint64
	cells   int
	byCell  map[int]cellcodec.Leader
	// led are the cells that this instance leads.
	led map[int]*leadership
}

// leaders knows the leader of each cell and keeps a link to it.
type leaders struct {
	entry *Entry
	table *publish.Cell[leaderTable]
	// wake is replaced when the links have to tell something at once.
	wake *publish.Cell[struct{}]

	mu    sync.Mutex
	links map[string]*celllink.Link
	// renewals holds what leaders last showed of their terms.
	renewals map[int]election.Renewal
	// shares holds the part of a core that each linked process may use.
	shares map[uint64]share
	// inbound counts the links that others keep to this instance, lastInbound
	// is when there was one, and most the highest count so far.
	inbound     int
	most        int
	lastInbound time.Time
}

func newLeaders(e *Entry) *leaders {
	return &leaders{
		entry:    e,
		table:    publish.New(&leaderTable{byCell: map[int]cellcodec.Leader{}, led: map[int]*leadership{}}),
		wake:     publish.New[struct{}](nil),
		links:    map[string]*celllink.Link{},
		renewals: map[int]election.Renewal{},
		shares:   map[uint64]share{},
	}
}

func (l *leaders) change(derive func(next *leaderTable) bool) {
	changed := false
	l.table.Update(func(current *leaderTable) *leaderTable {
		next := &leaderTable{current.version + 1, current.cells, maps.Clone(current.byCell), maps.Clone(current.led)}
		if !derive(next) {
			return current
		}
		changed = true
		return next
	})
	if changed {
		l.tell()
	}
}

// learn takes in the leader of a term unless a later one is known. A leader
// without an address has given its term up.
func (l *leaders) learn(leader cellcodec.Leader) {
	learned := false
	l.change(func(next *leaderTable) bool {
		known := next.byCell[leader.Cell]
		gaveUp := known.Epoch == leader.Epoch && leader.Address == "" && known.Address != ""
		learned = known.Epoch < leader.Epoch || gaveUp
		next.byCell[leader.Cell] = leader
		return learned
	})
	if learned {
		l.entry.options.Journal.Leader(leader.Cell, leader.Epoch, leader.Address)
	}
}

func (l *leaders) learnTerm(t election.Term) {
	l.learn(cellcodec.Leader{Cell: t.Cell, Epoch: t.Epoch, Address: t.Holder.Address, Nonce: t.Holder.Nonce})
}

func (l *leaders) setCells(cells int) {
	l.change(func(next *leaderTable) bool {
		if next.cells == cells {
			return false
		}
		next.cells = cells
		return true
	})
}

func (l *leaders) setLed(cell int, led *leadership) {
	l.change(func(next *leaderTable) bool {
		if led == nil {
			delete(next.led, cell)
		} else {
			next.led[cell] = led
		}
		return true
	})
}

// tell sends a pulse on all links.
func (l *leaders) tell() { l.wake.Publish(nil) }

// Wake implements celllink.Server.
func (l *leaders) Wake() <-chan struct{} { return l.wake.Changed() }

// Cells implements intake.Leaders.
func (l *leaders) Cells() int { return l.table.Load().cells }

// CellOf implements intake.Leaders.
func (l *leaders) CellOf(id jobspec.ID, cells int) int { return cellOf(string(id), cells) }

// cellOf spreads jobs and workers over the cells.
func cellOf(name string, cells int) int {
	return int(xxhash.Sum64String(name) % uint64(cells))
}

// reachable says whether the instance can pass requests on to a leader of
// every cell.
func (l *leaders) reachable() bool {
	table := l.table.Load()
	for number := range table.cells {
		if table.led[number] == nil && l.open(table.byCell[number].Address) == nil {
			return false
		}
	}
	return table.cells > 0
}

// Advised implements intake.Leaders.
func (l *leaders) Advised() bool { return l.entry.options.Advice != nil }

// Changed implements intake.Leaders.
func (l *leaders) Changed() <-chan struct{} { return l.table.Changed() }

func (l *leaders) epoch(cell int) int64 { return l.table.Load().byCell[cell].Epoch }

// Do implements intake.Leaders.
func (l *leaders) Do(ctx context.Context, call cellcodec.Call) (reply cellcodec.Reply, sent bool) {
	table := l.table.Load()
	if led := table.led[call.Cell]; led != nil {
		return led.serve(ctx, call), true
	}
	leader, known := table.byCell[call.Cell]
	if !known || leader.Address == "" {
		return cellcodec.Reply{}, false
	}
	link := l.open(leader.Address)
	if link == nil {
		return cellcodec.Reply{}, false
	}
	return link.Do(ctx, call)
}

// open returns a live link to an address, or nil.
func (l *leaders) open(address string) *celllink.Link {
	l.mu.Lock()
	defer l.mu.Unlock()
	link := l.links[address]
	if link == nil {
		return nil
	}
	select {
	case <-link.Done():
		delete(l.links, address)
		return nil
	default:
		return link
	}
}

// dial returns a live link to an address, and opens one if there is none.
func (l *leaders) dial(ctx context.Context, address string) (*celllink.Link, error) {
	if link := l.open(address); link != nil {
		return link, nil
	}
	link, err := celllink.Dial(ctx, address, l)
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.links[address] = link
	return link, nil
}

func (l *leaders) close() {
	l.mu.Lock()
	links := maps.Clone(l.links)
	l.mu.Unlock()
	for _, link := range links {
		link.Close()
	}
}

// Serve implements celllink.Server. A call is never passed on.
func (l *leaders) Serve(ctx context.Context, call cellcodec.Call) cellcodec.Reply {
	led := l.table.Load().led[call.Cell]
	if led == nil {
		return cellcodec.Reply{Result: cellcodec.NotLeader}
	}
	return led.serve(ctx, call)
}

// Pulse implements celllink.Server. The leaders are told when they change: with
// hundreds of instances, telling them each time fills the link between regions.
func (l *leaders) Pulse(theirs int64, shown uint64) (pulse cellcodec.Pulse, showing uint64) {
	table := l.table.Load()
	pulse = cellcodec.Pulse{Cells: table.cells, Nonce: l.entry.options.Self.Nonce, Share: l.entry.options.CPUShare}
	if table.version != shown {
		for _, leader := range table.byCell {
			pulse.Leaders = append(pulse.Leaders, leader)
		}
	}
	for number, led := range table.led {
		pulse.Led = append(pulse.Led, cellcodec.Led{
			Cell: number, Epoch: led.term.Epoch, End: led.recordEnd.Load(),
			RenewedMillis: led.sinceRenewal().Milliseconds(),
		})
	}
	if encoded := l.entry.encoded.Load(); encoded != nil {
		pulse.Manifest = encoded.version
		if theirs >= 0 && theirs < encoded.version {
			pulse.Content = encoded.bytes
		}
	}
	return pulse, table.version
}

// Pulsed implements celllink.Server.
func (l *leaders) Pulsed(pulse cellcodec.Pulse) {
	if pulse.Cells > 0 && l.Cells() == 0 {
		l.setCells(pulse.Cells)
	}
	for _, leader := range pulse.Leaders {
		l.learn(leader)
	}
	l.mu.Lock()
	l.shares[pulse.Nonce] = share{pulse.Share, time.Now()}
	for _, led := range pulse.Led {
		if l.renewals[led.Cell].Epoch <= led.Epoch {
			age := time.Duration(led.RenewedMillis) * time.Millisecond
			l.renewals[led.Cell] = election.Renewal{Epoch: led.Epoch, End: led.End, At: time.Now().Add(-age)}
		}
	}
	l.mu.Unlock()
	if len(pulse.Content) > 0 {
		l.entry.adoptEncoded(pulse.Content)
	}
}

func (l *leaders) dump() any {
	table := l.table.Load()
	state := map[string]any{"cells": table.cells, "leaders": table.byCell}
	for number, led := range table.led {
		state[cellName(number)] = led.dump()
	}
	return state
}
