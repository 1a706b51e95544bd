package workers

import (
	"math"
	"time"

	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/resource"
)

const (
	// cpuStep is the unit of compact processor amounts in thousandths of a
	// core; 16 bits then hold 655 cores.
	cpuStep = 10
	// memoryStep is the unit of compact memory amounts in mebibytes; 16 bits
	// then hold 4 TiB.
	memoryStep = 64
	// refreshPeriod is the longest time between two summaries of one worker. It
	// lets a reader tell an unchanged worker from a silent owner.
	refreshPeriod = 10 * time.Second
	// summaryLife is how long a summary is used: three refreshes, so that two
	// lost ones don't take a worker out of the view.
	summaryLife = 3 * refreshPeriod
	// changeShare is the part of an amount by which it must change to be sent
	// before the next refresh. Smaller changes would use up the traffic limit
	// of 3 KB/s a node and are noise to the placement.
	changeShare = 16
	// disturbanceStep is the change of disturbance, in thousandths, that is
	// sent before the next refresh.
	disturbanceStep = 50
)

// Flags are the states of a worker in a summary.
type Flags uint8

const (
	// FlagReady: the owner has completed its takeover.
	FlagReady Flags = 1 << iota
	// FlagLeaving: the worker refused work because it is leaving.
	FlagLeaving
	// FlagProbing: the worker gets one start at a time.
	FlagProbing
	// FlagFailing: the worker gets no work.
	FlagFailing
)

// Summary is what an owner tells other instances of a worker. Without the
// identifier it takes 13 bytes; a two-byte index replaces that on the wire.
// Free amounts are rounded down, so a summary never promises more than there is.
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
	// Disturbance is in thousandths, as in Worker.
	Disturbance uint16 `cbor:"9,keyasint,omitempty"`
}

// Owned is what the owner's session, ledger and health know of a worker.
type Owned struct {
	Worker      ident.WorkerID
	Free        resource.Vector
	CPUUsed     int64
	Disturbance int64
	Ready       bool
	Leaving     bool
	Health      Health
}

// Summarize returns the summary of an owned worker.
func Summarize(owned Owned) Summary {
	return Summary{
		Worker:           owned.Worker,
		FreeCPU:          uint16(clamp(owned.Free.CPU/cpuStep, math.MaxUint16)),
		UsedCPU:          uint16(clamp(owned.CPUUsed/cpuStep, math.MaxUint16)),
		FreeMemory:       uint16(clamp(owned.Free.Memory/memoryStep, math.MaxUint16)),
		FreeConnections:  uint16(clamp(owned.Free.Connections, math.MaxUint16)),
		FreeAccelerators: uint8(clamp(owned.Free.Accelerators, math.MaxUint8)),
		FreeSlots:        uint8(clamp(owned.Free.Slots, math.MaxUint8)),
		Flags:            flags(owned),
		Disturbance:      uint16(clamp(owned.Disturbance, math.MaxUint16)),
	}
}

func clamp(amount, limit int64) int64 {
	return min(max(amount, 0), limit)
}

func flags(owned Owned) Flags {
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

// Expand returns what a summary says, in full units.
func (s Summary) Expand() Owned {
	health := Healthy
	if s.Flags&FlagProbing != 0 {
		health = Probing
	}
	if s.Flags&FlagFailing != 0 {
		health = Failing
	}
	return Owned{
		Worker: s.Worker,
		Free: resource.Vector{
			CPU:          int64(s.FreeCPU) * cpuStep,
			Memory:       int64(s.FreeMemory) * memoryStep,
			Accelerators: int64(s.FreeAccelerators),
			Slots:        int64(s.FreeSlots),
			Connections:  int64(s.FreeConnections),
		},
		CPUUsed:     int64(s.UsedCPU) * cpuStep,
		Disturbance: int64(s.Disturbance),
		Ready:       s.Flags&FlagReady != 0,
		Leaving:     s.Flags&FlagLeaving != 0,
		Health:      health,
	}
}

// Sent is the last summary of a worker that was sent, and when.
type Sent struct {
	Summary Summary
	At      time.Time
}

// Changed returns the summaries to send now and the record of what was sent
// with them. A worker is sent again when a state or a whole unit changed, when
// an amount changed much, or when its last summary is a refresh period old.
func Changed(sent map[ident.WorkerID]Sent, owned []Owned, now time.Time) ([]Summary, map[ident.WorkerID]Sent) {
	next := make(map[ident.WorkerID]Sent, len(owned))
	var changed []Summary
	for _, worker := range owned {
		summary := Summarize(worker)
		last, found := sent[worker.Worker]
		if found && now.Sub(last.At) < refreshPeriod && !differs(last.Summary, summary) {
			next[worker.Worker] = last
			continue
		}
		changed = append(changed, summary)
		next[worker.Worker] = Sent{Summary: summary, At: now}
	}
	return changed, next
}

// differs reports whether a change is worth a message.
func differs(last, now Summary) bool {
	if last.Flags != now.Flags || last.FreeSlots != now.FreeSlots {
		return true
	}
	if last.FreeAccelerators != now.FreeAccelerators {
		return true
	}
	return moved(last.FreeCPU, now.FreeCPU) ||
		moved(last.FreeMemory, now.FreeMemory) ||
		moved(last.FreeConnections, now.FreeConnections) ||
		moved(last.UsedCPU, now.UsedCPU) ||
		distance(last.Disturbance, now.Disturbance) >= disturbanceStep
}

// moved reports whether an amount changed by at least a share of the larger.
func moved(last, now uint16) bool {
	change := distance(last, now)
	return change > 0 && change*changeShare >= int(max(last, now))
}

func distance(a, b uint16) int {
	return int(max(a, b)) - int(min(a, b))
}
