package workers

import (
	"math"
	"time"

	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/resource"
)

const (
	// cpuUnit is the unit of CPU amounts in a Summary, in thousandths of a core. With
	// it, 16 bits hold up to 655 cores.
	cpuUnit = 10
	// memoryUnit is the unit of memory amounts in a Summary, in mebibytes. With it, 16
	// bits hold up to 4 TiB.
	memoryUnit = 64
	// refreshPeriod is the maximum time between two summaries of a worker. A summary
	// is also sent for an unchanged worker, so that the receiver can distinguish it
	// from a worker whose owner no longer sends any.
	refreshPeriod = 10 * time.Second
	// summaryMaxAge is the age from which a summary is no longer used. It is three
	// refresh periods, so that a worker stays ready when two summaries are lost.
	summaryMaxAge = 3 * refreshPeriod
	// significantChangeDivisor sets the smallest change of an amount that is sent
	// before the next refresh: one sixteenth of the larger of the old and the new
	// amount. Smaller changes are noise to the placement, and sending them would use
	// up the traffic limit of 3 KB/s per node.
	significantChangeDivisor = 16
	// minDisturbanceChange is the smallest change of the disturbance that is sent
	// before the next refresh, in thousandths.
	minDisturbanceChange = 50
)

// Flags holds the state of a worker in a summary, as a bit set.
type Flags uint8

const (
	// FlagReady means that the owner has completed its takeover of the worker.
	FlagReady Flags = 1 << iota
	// FlagLeaving means that the worker refused work because it is leaving.
	FlagLeaving
	// FlagProbing means that the worker gets one start at a time, until one succeeds.
	FlagProbing
	// FlagFailing means that the worker gets no work until its next probe.
	FlagFailing
)

// Summary is the compact state of a worker that its owner sends to other instances.
// Without the identifier it takes 13 bytes; on the wire, a two-byte index replaces
// the identifier. Free amounts are rounded down, so that a summary never shows more
// free capacity than there is.
type Summary struct {
	Worker ident.WorkerID `cbor:"1,keyasint,omitempty"`
	// FreeCPU and UsedCPU are in hundredths of a core.
	FreeCPU uint16 `cbor:"2,keyasint,omitempty"`
	UsedCPU uint16 `cbor:"3,keyasint,omitempty"`
	// FreeMemory is in units of 64 MiB.
	FreeMemory       uint16 `cbor:"4,keyasint,omitempty"`
	FreeConnections  uint16 `cbor:"5,keyasint,omitempty"`
	FreeAccelerators uint8  `cbor:"6,keyasint,omitempty"`
	FreeSlots        uint8  `cbor:"7,keyasint,omitempty"`
	Flags            Flags  `cbor:"8,keyasint,omitempty"`
	// Disturbance is the same as Worker.Disturbance, in thousandths.
	Disturbance uint16 `cbor:"9,keyasint,omitempty"`
}

// OwnedWorker is the state of a worker that its owner knows from the session with
// the worker, from its ledger and from the worker's health.
type OwnedWorker struct {
	Worker ident.WorkerID
	Free   resource.Vector
	// CPUUsed is in thousandths of a core, Disturbance in thousandths as in Worker.
	CPUUsed     int64
	Disturbance int64
	Ready       bool
	Leaving     bool
	Health      Health
}

// Summarize returns the summary of an owned worker. Amounts too large for their
// field are reduced to the largest value of the field.
func Summarize(owned OwnedWorker) Summary {
	return Summary{
		Worker:           owned.Worker,
		FreeCPU:          uint16(clamp(owned.Free.CPU/cpuUnit, math.MaxUint16)),
		UsedCPU:          uint16(clamp(owned.CPUUsed/cpuUnit, math.MaxUint16)),
		FreeMemory:       uint16(clamp(owned.Free.Memory/memoryUnit, math.MaxUint16)),
		FreeConnections:  uint16(clamp(owned.Free.Connections, math.MaxUint16)),
		FreeAccelerators: uint8(clamp(owned.Free.Accelerators, math.MaxUint8)),
		FreeSlots:        uint8(clamp(owned.Free.Slots, math.MaxUint8)),
		Flags:            flagsOf(owned),
		Disturbance:      uint16(clamp(owned.Disturbance, math.MaxUint16)),
	}
}

// clamp limits an amount to the range from 0 to limit.
func clamp(amount, limit int64) int64 {
	return min(max(amount, 0), limit)
}

// flagsOf returns the flags that a worker's state has in a summary.
func flagsOf(owned OwnedWorker) Flags {
	var set Flags
	if owned.Ready {
		set |= FlagReady
	}
	if owned.Leaving {
		set |= FlagLeaving
	}
	switch owned.Health {
	case Probing:
		set |= FlagProbing
	case Failing:
		set |= FlagFailing
	}
	return set
}

// Expand returns the state in a summary, converted back to the units of OwnedWorker.
func (s Summary) Expand() OwnedWorker {
	health := Healthy
	if s.Flags&FlagProbing != 0 {
		health = Probing
	}
	if s.Flags&FlagFailing != 0 {
		health = Failing
	}
	return OwnedWorker{
		Worker: s.Worker,
		Free: resource.Vector{
			CPU:          int64(s.FreeCPU) * cpuUnit,
			Memory:       int64(s.FreeMemory) * memoryUnit,
			Accelerators: int64(s.FreeAccelerators),
			Slots:        int64(s.FreeSlots),
			Connections:  int64(s.FreeConnections),
		},
		CPUUsed:     int64(s.UsedCPU) * cpuUnit,
		Disturbance: int64(s.Disturbance),
		Ready:       s.Flags&FlagReady != 0,
		Leaving:     s.Flags&FlagLeaving != 0,
		Health:      health,
	}
}

// SentSummary is the last summary of a worker that was sent, with the time of
// sending.
type SentSummary struct {
	Summary Summary
	SentAt  time.Time
}

// SelectChanged returns the summaries to send now, and the last sent summary of
// each owned worker once these have been sent. A worker's summary is sent again
// when the flags, the free slots or the free accelerators changed, when another
// amount changed significantly, or when the last summary was sent a refreshPeriod
// ago.
func SelectChanged(sent map[ident.WorkerID]SentSummary, owned []OwnedWorker, now time.Time) ([]Summary, map[ident.WorkerID]SentSummary) {
	next := make(map[ident.WorkerID]SentSummary, len(owned))
	var changed []Summary
	for _, worker := range owned {
		summary := Summarize(worker)
		last, found := sent[worker.Worker]
		if found && now.Sub(last.SentAt) < refreshPeriod && !differsSignificantly(last.Summary, summary) {
			next[worker.Worker] = last
			continue
		}
		changed = append(changed, summary)
		next[worker.Worker] = SentSummary{Summary: summary, SentAt: now}
	}
	return changed, next
}

// differsSignificantly reports whether the change between two summaries must be sent
// before the next refresh.
func differsSignificantly(last, now Summary) bool {
	if last.Flags != now.Flags || last.FreeSlots != now.FreeSlots {
		return true
	}
	if last.FreeAccelerators != now.FreeAccelerators {
		return true
	}
	return changedSignificantly(last.FreeCPU, now.FreeCPU) ||
		changedSignificantly(last.FreeMemory, now.FreeMemory) ||
		changedSignificantly(last.FreeConnections, now.FreeConnections) ||
		changedSignificantly(last.UsedCPU, now.UsedCPU) ||
		absDifference(last.Disturbance, now.Disturbance) >= minDisturbanceChange
}

// changedSignificantly reports whether an amount changed by at least one
// significantChangeDivisor-th of the larger amount.
func changedSignificantly(last, now uint16) bool {
	change := absDifference(last, now)
	return change > 0 && change*significantChangeDivisor >= int(max(last, now))
}

// absDifference returns the absolute difference of two amounts.
func absDifference(a, b uint16) int {
	return int(max(a, b)) - int(min(a, b))
}
