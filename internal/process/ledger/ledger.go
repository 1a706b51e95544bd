// Package ledger keeps account of the reserved capacity of the workers that the
// instance owns.
//
// Reserve never lets the reservations of an account exceed its capacity,
// however concurrent calls interleave. Tasks that a takeover finds running are
// counted even if they exceed the capacity. In that case nothing more can be
// reserved until enough of them have ended.
package ledger

import (
	"sync/atomic"

	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/publish"
	"poplarvalve/internal/process/resource"
)

// Account holds the reservations on one worker. All methods are safe for
// concurrent use and take no lock.
type Account struct {
	capacity resource.Vector
	used     [resourceCount]atomic.Int64
}

// resourceCount is the number of resources in a resource.Vector.
const resourceCount = 5

// NewAccount returns an account of a worker with the given capacity and no
// reservations.
func NewAccount(capacity resource.Vector) *Account {
	return &Account{capacity: capacity}
}

// Reserve reserves demand if it fits, and reports whether it did. It adds each
// amount before it compares the sum with the capacity. Two concurrent calls for
// the last free capacity may therefore both fail, but never both succeed.
func (a *Account) Reserve(demand resource.Vector) bool {
	want := amounts(demand)
	limit := amounts(a.capacity)
	for i := range want {
		if want[i] == 0 {
			continue
		}
		if a.used[i].Add(want[i]) > limit[i] {
			a.undo(want, i)
			return false
		}
	}
	return true
}

// Fits reports whether demand fits into the free capacity at this moment. It is
// wait-free and reserves nothing, so a later Reserve may still fail.
func (a *Account) Fits(demand resource.Vector) bool {
	return demand.Fits(a.Free())
}

// Resize changes the size of a reservation if the increase fits, and reports
// whether it did. Otherwise the reservation keeps its old size.
func (a *Account) Resize(from, to resource.Vector) bool {
	change := to.Sub(from)
	if !a.Reserve(positivePart(change)) {
		return false
	}
	a.Release(positivePart(resource.Vector{}.Sub(change)))
	return true
}

// positivePart returns v with its negative amounts replaced by zero.
func positivePart(v resource.Vector) resource.Vector {
	return resource.Vector{
		CPU:          max(v.CPU, 0),
		Memory:       max(v.Memory, 0),
		Accelerators: max(v.Accelerators, 0),
		Slots:        max(v.Slots, 0),
		Connections:  max(v.Connections, 0),
	}
}

// undo takes back the amounts of want up to and including the index last.
func (a *Account) undo(want [resourceCount]int64, last int) {
	for i := 0; i <= last; i++ {
		a.used[i].Add(-want[i])
	}
}

// AddRunning adds the demand of a task that is known to run, whether it fits or
// not.
func (a *Account) AddRunning(demand resource.Vector) {
	for i, amount := range amounts(demand) {
		a.used[i].Add(amount)
	}
}

// Release takes back a demand that Reserve or AddRunning added.
func (a *Account) Release(demand resource.Vector) {
	for i, amount := range amounts(demand) {
		a.used[i].Add(-amount)
	}
}

// Used returns the sum of the demands that Reserve and AddRunning added and
// that were not released.
func (a *Account) Used() resource.Vector {
	return resource.Vector{
		CPU:          a.used[0].Load(),
		Memory:       a.used[1].Load(),
		Accelerators: a.used[2].Load(),
		Slots:        a.used[3].Load(),
		Connections:  a.used[4].Load(),
	}
}

// Capacity returns the total capacity of the worker.
func (a *Account) Capacity() resource.Vector {
	return a.capacity
}

// Free returns the capacity minus the used amounts. Amounts may be negative
// after a takeover.
func (a *Account) Free() resource.Vector {
	return a.capacity.Sub(a.Used())
}

func amounts(v resource.Vector) [resourceCount]int64 {
	return [resourceCount]int64{v.CPU, v.Memory, v.Accelerators, v.Slots, v.Connections}
}

// Ledger holds the accounts of the workers that the instance owns. Find takes
// no lock.
type Ledger struct {
	accounts *publish.Value[map[ident.WorkerID]*Account]
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{accounts: publish.New(&map[ident.WorkerID]*Account{})}
}

// Find returns the account of a worker and whether it has one.
func (l *Ledger) Find(worker ident.WorkerID) (*Account, bool) {
	account, found := (*l.accounts.Load())[worker]
	return account, found
}

// Open adds the account of a worker. It replaces an account that the worker
// already has.
func (l *Ledger) Open(worker ident.WorkerID, account *Account) {
	l.change(func(accounts map[ident.WorkerID]*Account) {
		accounts[worker] = account
	})
}

// Close removes the account of a worker that is no longer owned.
func (l *Ledger) Close(worker ident.WorkerID) {
	l.change(func(accounts map[ident.WorkerID]*Account) {
		delete(accounts, worker)
	})
}

func (l *Ledger) change(edit func(map[ident.WorkerID]*Account)) {
	l.accounts.Update(func(current *map[ident.WorkerID]*Account) *map[ident.WorkerID]*Account {
		next := make(map[ident.WorkerID]*Account, len(*current)+1)
		for worker, account := range *current {
			next[worker] = account
		}
		edit(next)
		return &next
	})
}
