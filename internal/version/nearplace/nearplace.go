// Package nearplace decides how long a task waits for room in the rack of its data, or a group
// for room in one rack. It addresses loads under which a rack is full for less time than a run
// elsewhere would lose: from moderate load with hot racks up to about the capacity of the fleet.
// It reads no clock; all times are relative to the pass of the caller.
package nearplace

import (
	"cmp"
	"slices"
	"time"
)

const (
	// MaxWait bounds the waits of one start whatever the settings say: a task whose turn has
	// come must start within 3 s, which include the wait.
	MaxWait = 1500 * time.Millisecond
	// margin is by how much the saving must exceed the expected wait, and dependentsMargin is
	// the same for a task that other steps wait for: a wait that is too long delays these too.
	margin, dependentsMargin = 1.1, 1.3
	// patienceFactor and patienceFloor limit a wait by its expectation. An expectation that is
	// too low by a factor of 5 costs little more than twice the expected wait.
	patienceFactor = 2
	patienceFloor  = 100 * time.Millisecond
)

// Size is an amount of each resource: reserved CPU, memory, accelerators, and CPU that
// best-effort tasks find unused. A caller may use any units.
type Size [4]int

// SpareCPU is the index in a Size of the CPU that best-effort tasks find unused.
const SpareCPU = 3

func (s Size) plus(other Size) Size {
	for i := range s {
		s[i] += other[i]
	}
	return s
}

func (s Size) minus(other Size) Size {
	for i := range s {
		s[i] -= other[i]
	}
	return s
}

func (s Size) holds(other Size) bool {
	for i := range s {
		if other[i] > 0 && s[i] < other[i] {
			return false
		}
	}
	return true
}

// Freeing is resources that a backend server is expected to get back.
type Freeing struct {
	After time.Duration
	Size  Size
}

// server is the forecast of one backend server.
type server struct {
	free     Size
	freeings []Freeing // Sorted by After; a claim has a negative size.
	claims   int
}

// Forecast is the room of a rack from now on. Only backend servers that may get starts are
// part of it.
type Forecast struct {
	servers []server
	// full holds the sizes for which no room is expected within MaxWait.
	full []Size
	// lastSize, lastServer and lastAt are the last answer of earliest. It is lastKnown until
	// the next claim.
	lastKnown  bool
	lastSize   Size
	lastServer int
	lastAt     time.Duration
}

// AddServer adds a backend server with its free resources and those that its runs free.
func (f *Forecast) AddServer(free Size, freeings []Freeing) {
	slices.SortFunc(freeings, func(a, b Freeing) int { return cmp.Compare(a.After, b.After) })
	f.servers = append(f.servers, server{free: free, freeings: freeings})
	f.lastKnown = false
}

// Empty reports whether no backend server of the rack may get starts.
func (f *Forecast) Empty() bool { return len(f.servers) == 0 }

// earliest returns when the server has room for the size, and keeps it for good.
func (s *server) earliest(size Size) (time.Duration, bool) {
	level := s.free
	for _, freeing := range s.freeings {
		level = level.plus(freeing.Size)
	}
	if !level.holds(size) {
		return 0, false
	}
	for _, freeing := range slices.Backward(s.freeings) {
		if level = level.minus(freeing.Size); !level.holds(size) {
			return freeing.After, true
		}
	}
	return 0, true
}

// earliest returns the server with room for the size first, of those with fewer claims than
// the limit unless that is 0, and when. It returns -1 if there is none within MaxWait.
func (f *Forecast) earliest(size Size, claimLimit int) (int, time.Duration) {
	if claimLimit == 0 && f.lastKnown && f.lastSize == size {
		return f.lastServer, f.lastAt
	}
	if slices.ContainsFunc(f.full, size.holds) {
		return -1, 0
	}
	best, bestAt := -1, MaxWait
	for i := range f.servers {
		if claimLimit > 0 && f.servers[i].claims >= claimLimit {
			continue
		}
		if at, ok := f.servers[i].earliest(size); ok && at < bestAt {
			best, bestAt = i, at
		}
	}
	if claimLimit > 0 {
		return best, bestAt
	}
	if best < 0 {
		f.full = append(f.full, size)
	} else {
		f.lastKnown, f.lastSize, f.lastServer, f.lastAt = true, size, best, bestAt
	}
	return best, bestAt
}

// claim takes room on a server from one time on, until it is given back after work.
func (f *Forecast) claim(server int, size Size, at, work time.Duration) {
	s := &f.servers[server]
	s.claims++
	s.freeings = append(slices.Clone(s.freeings), Freeing{at, Size{}.minus(size)}, Freeing{at + work, size})
	slices.SortStableFunc(s.freeings, func(a, b Freeing) int { return cmp.Compare(a.After, b.After) })
	f.lastKnown = false
}

// Group returns when a number of tasks of one size are expected to fit together, at most
// perServer of them on one server unless that is 0. It returns false if not within MaxWait.
func (f *Forecast) Group(size Size, count, perServer int) (time.Duration, bool) {
	trial := Forecast{servers: slices.Clone(f.servers)}
	for i := range trial.servers {
		trial.servers[i].claims = 0
	}
	last := time.Duration(0)
	for range count {
		server, at := trial.earliest(size, perServer)
		if server < 0 {
			return 0, false
		}
		last = max(last, at)
		trial.claim(server, size, at, 2*MaxWait)
	}
	return last, true
}

// Ask is a ready task, or a group, that may wait.
type Ask struct {
	// Priority orders asks before what they save; a lower one comes first.
	Priority int
	Size     Size
	// Work is what is left to run near the data, and Factor how many times as long it takes
	// elsewhere.
	Work   time.Duration
	Factor float64
	// Left is what is left of the bound on the waits of this start.
	Left time.Duration
	// Slack is the time that the job has to spare if the task starts near at once.
	Slack time.Duration
	// Dependents is set if other steps wait for the task.
	Dependents bool
	// Waiting is set if the task waits for the rack already.
	Waiting bool
	// Load is the share of the capacity of the fleet that is in use, from 0 to 1.
	Load float64
}

// Saving returns by how much longer the work takes elsewhere.
func (a Ask) Saving() time.Duration { return time.Duration((a.Factor - 1) * float64(a.Work)) }

// gain returns what a run near the data saves, with what it saves others: a run elsewhere takes
// capacity for longer by the saving, and the more of the capacity is in use, the more likely
// others wait for it.
func (a Ask) gain() float64 { return (1 + min(max(a.Load, 0), 1)) * float64(a.Saving()) }

// Patience returns for how long a task waits at most that is expected to wait for a time. A
// task that is in time elsewhere gives up while it still is. The loss of a wait that fails is
// at most what it was to save.
func (a Ask) Patience(expected time.Duration) time.Duration {
	patience := min(a.Left, MaxWait, time.Duration(a.gain()), patienceFactor*expected+patienceFloor)
	if spare := a.Slack - a.Saving(); spare >= 0 {
		patience = min(patience, spare)
	}
	return patience
}

// Pays reports whether an expected wait costs less than it saves. Capacity that stays free during
// the wait needs no term of its own: others take it, or nobody needs it.
func (a Ask) Pays(expected time.Duration) bool {
	if expected <= 0 {
		return true
	}
	needed := margin
	switch {
	case a.Waiting:
		needed = 1
	case a.Dependents:
		needed = dependentsMargin
	}
	return needed*float64(expected) < a.gain() && expected <= a.Patience(expected)
}

// waitingShare is by how much more a newcomer must save than a task that waits already to take
// its place. Without it, tasks of nearly equal savings would end each other's waits.
const waitingShare = 1.25

func (a Ask) rank() float64 {
	if a.Waiting {
		return waitingShare * float64(a.Saving())
	}
	return float64(a.Saving())
}

// Slot is the share of one ask in the room of a rack.
type Slot struct {
	// Granted is set if the ask should wait for the rack, for the time Wait.
	Granted bool
	Wait    time.Duration
}

// Share returns the share of each ask in the room of the rack. What is expected goes to the
// asks of the first priority that save most; of equal ones, to the first.
func (f *Forecast) Share(asks []Ask, correction Correction) []Slot {
	order := make([]int, len(asks))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(asks[a].Priority, asks[b].Priority), cmp.Compare(asks[b].rank(), asks[a].rank()))
	})
	slots := make([]Slot, len(asks))
	for _, i := range order {
		ask := asks[i]
		server, at := f.earliest(ask.Size, 0)
		if server < 0 {
			continue
		}
		if wait := correction.Apply(at); ask.Pays(wait) {
			slots[i] = Slot{true, wait}
			f.claim(server, ask.Size, at, ask.Work)
		}
	}
	return slots
}
