// Package ledger accounts for the capacity of the workers that the instance
// owns.
//
// The sum of the reservations of an account never exceeds its capacity, at any
// interleaving of callers. What a takeover finds running is counted even when
// it exceeds the capacity; then nothing more is reserved until it fits.
package ledger

import (
	"sync/atomic"

	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/publish"
	"poplarvalve/internal/process/resource"
)

// Account holds the reservations on one worker. All methods are safe for use
// by many threads and take no lock.
type Account struct {
	capacity resource.Vector
	used     [entries]atomic.Int64
}

// entries is the number of resources in a vector.
const entries = 5

// NewAccount returns an account with nothing reserved.
func NewAccount(capacity resource.Vector) *Account {
	return &Account{capacity: capacity}
}

// Reserve takes demand if it fits and reports whether it did. Each entry is
// added before it is compared, so two threads can both be refused the last
// room, but can't both get it.
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

// Fits reports whether demand would fit at this moment. It is wait-free and
// reserves nothing, so only Reserve decides.
func (a *Account) Fits(demand resource.Vector) bool {
	return demand.Fits(a.Free())
}

// Resize changes a reservation from one size to another if the growth fits,
// and reports whether it did. Otherwise the reservation keeps its old size.
func (a *Account) Resize(from, to resource.Vector) bool {
	change := to.Sub(from)
	if !a.Reserve(positive(change)) {
		return false
	}
	a.Release(positive(resource.Vector{}.Sub(change)))
	return true
}

// positive returns v with the negative entries at zero.
func positive(v resource.Vector) resource.Vector {
	return resource.Vector{
		CPU:          max(v.CPU, 0),
		Memory:       max(v.Memory, 0),
		Accelerators: max(v.Accelerators, 0),
		Slots:        max(v.Slots, 0),
		Connections:  max(v.Connections, 0),
	}
}

// undo returns the first entries of want up to and including last.
func (a *Account) undo(want [entries]int64, last int) {
	for i := 0; i <= last; i++ {
		a.used[i].Add(-want[i])
	}
}

// Count adds what is known to run, whether it fits or not.
func (a *Account) Count(demand resource.Vector) {
	for i, amount := range amounts(demand) {
		a.used[i].Add(amount)
	}
}

// Release returns what Reserve or Count took.
func (a *Account) Release(demand resource.Vector) {
	for i, amount := range amounts(demand) {
		a.used[i].Add(-amount)
	}
}

// Used returns the sum of the reservations.
func (a *Account) Used() resource.Vector {
	return resource.Vector{
		CPU:          a.used[0].Load(),
		Memory:       a.used[1].Load(),
		Accelerators: a.used[2].Load(),
		Slots:        a.used[3].Load(),
		Connections:  a.used[4].Load(),
	}
}

// Capacity returns what the worker holds.
func (a *Account) Capacity() resource.Vector {
	return a.capacity
}

// Free returns the capacity less the reservations. An entry may be negative
// after a takeover.
func (a *Account) Free() resource.Vector {
	return a.capacity.Sub(a.Used())
}

func amounts(v resource.Vector) [entries]int64 {
	return [entries]int64{v.CPU, v.Memory, v.Accelerators, v.Slots, v.Connections}
}

// Ledger holds the accounts of the owned workers. Lookups take no lock.
type Ledger struct {
	accounts *publish.Cell[map[ident.WorkerID]*Account]
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{accounts: publish.New(&map[ident.WorkerID]*Account{})}
}

// Find returns the account of a worker.
func (l *Ledger) Find(worker ident.WorkerID) (*Account, bool) {
	account, found := (*l.accounts.Load())[worker]
	return account, found
}

// Open adds an account for a worker and replaces an earlier one.
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
