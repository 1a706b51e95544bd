// Package sizes learns from usage reports how much each service really takes.
//
// A Table is an immutable value; equal reports in equal order give equal
// tables. The owner of a worker folds the reports into it and takes the size of
// new starts from Size; the declared size holds until enough is known.
package sizes

import (
	"maps"
	"math"
	"math/bits"

	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/resource"
)

const (
	// enough is the number of reports from which a size is learnt.
	enough = 8
	// weight is the part of a new report in the mean and the deviation.
	weight = 0.1
	// cpuHeadroom and memoryHeadroom are the numbers of mean deviations that are
	// added. Processors that are short slow down a task, and the tasks of a
	// worker rarely peak together; three deviations cover about 98% of reports
	// that are normally distributed.
	cpuHeadroom    = 1
	memoryHeadroom = 3
	// tolerance is the error of a declaration, as a part of it, up to which it
	// holds. Declared sizes often divide a worker evenly; replacing 4 cores by
	// 4.1 leaves room for three tasks on 16 cores instead of four.
	tolerance = 0.2
	// leastMemoryHeadroom is added in any case, as a part of the mean.
	leastMemoryHeadroom = 0.05
	// significantBits is the precision of sizes. A size that moves with each
	// report would put each start of a service into a line of its own in the
	// start queue.
	significantBits = 5
	// peakKept is what each report leaves of the memory peak. A peak counts for
	// about 200 reports, since memory that is short ends a task where
	// processors that are short only slow it down.
	peakKept = 0.995
	// memoryFloor is the least size in mebibytes.
	memoryFloor = 64
	// memoryFloorShare is the least size as a part of the declared one. A task
	// may take what it declared only at its end.
	memoryFloorShare = 0.25
	// cpuFloor is the least size in thousandths of a core.
	cpuFloor = 50
)

// Report is what one task took.
type Report struct {
	Service ident.ServiceName
	Used    resource.Vector
}

// Table is an immutable version of the sizes. Nil holds none.
type Table struct {
	services map[ident.ServiceName]usage
}

type usage struct {
	count  int
	cpu    track
	memory track
	// peak is the memory peak, in mebibytes.
	peak float64
}

// track follows a value and how far it strays.
type track struct {
	mean      float64
	deviation float64
}

// Fold returns the table after more reports.
func (t *Table) Fold(reports []Report) *Table {
	next := &Table{services: map[ident.ServiceName]usage{}}
	if t != nil {
		maps.Copy(next.services, t.services)
	}
	for _, report := range reports {
		known := next.services[report.Service]
		next.services[report.Service] = known.with(report.Used)
	}
	return next
}

func (u usage) with(used resource.Vector) usage {
	u.cpu = u.cpu.with(float64(used.CPU), u.count)
	u.memory = u.memory.with(float64(used.Memory), u.count)
	u.peak = max(u.peak*peakKept, float64(used.Memory))
	u.count++
	return u
}

// with counts the first reports equally, so that the first of all doesn't
// dominate.
func (t track) with(value float64, count int) track {
	part := max(weight, 1/float64(count+1))
	miss := value - t.mean
	t.mean += part * miss
	if count > 0 {
		t.deviation += part * (math.Abs(miss) - t.deviation)
	}
	return t
}

// Size returns the amount to reserve for a task: the declared one until enough
// is known, then the learnt processors and memory, but at most what the largest
// worker holds, since a task that takes more still runs, if slowly. Slots,
// connections and accelerators are as declared.
func (t *Table) Size(service ident.ServiceName, declared, largest resource.Vector) resource.Vector {
	if t == nil || t.services[service].count < enough {
		return declared
	}
	known := t.services[service]
	memory := known.memory.mean
	memory += max(memoryHeadroom*known.memory.deviation, leastMemoryHeadroom*memory)
	floor := max(memoryFloor, float64(declared.Memory)*memoryFloorShare)
	size := declared
	size.CPU = settle(known.cpu.mean+cpuHeadroom*known.cpu.deviation, declared.CPU, cpuFloor, largest.CPU)
	size.Memory = settle(max(memory, known.peak), declared.Memory, floor, largest.Memory)
	return size
}

// settle returns the declared amount if it is about right, else the learnt one
// between floor and largest.
func settle(amount float64, declared int64, floor float64, largest int64) int64 {
	if math.Abs(amount-float64(declared)) <= tolerance*float64(declared) {
		return declared
	}
	return min(round(max(amount, floor)), largest)
}

// round returns an amount rounded up to a few significant bits.
func round(amount float64) int64 {
	whole := int64(math.Ceil(amount))
	drop := max(bits.Len64(uint64(whole))-significantBits, 0)
	step := int64(1) << drop
	return (whole + step - 1) / step * step
}
