// Package sizes estimates from usage reports how much CPU and memory the tasks of
// each service really use.
//
// A Table is an immutable value; equal reports in equal order give equal tables.
// The owner of a worker adds usage reports to it with Add, and reserves what Size
// returns for each new start; until a service has enough reports, that is the
// declared size.
package sizes

import (
	"maps"
	"math"
	"math/bits"

	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/resource"
)

const (
	// minReports is the number of reports that a service needs before they replace
	// its declared size.
	minReports = 8
	// reportWeight is the weight of a new report in the mean and in the mean
	// deviation.
	reportWeight = 0.1
	// cpuHeadroom and memoryHeadroom are the numbers of mean deviations that are
	// added to the mean. One is enough for CPU, because a lack of CPU only slows a
	// task down and the tasks of a worker rarely peak together. Three deviations
	// cover about 98% of reports that are normally distributed.
	cpuHeadroom    = 1
	memoryHeadroom = 3
	// declaredTolerance is the largest difference between the estimated and the
	// declared size, as a fraction of the declared one, at which the declared size
	// is kept. Declared sizes often divide a worker evenly: with 4.1 instead of 4
	// cores, only three tasks instead of four fit on 16 cores.
	declaredTolerance = 0.2
	// minMemoryHeadroomShare is the minimum memory headroom as a fraction of the
	// mean.
	minMemoryHeadroomShare = 0.05
	// significantBits is the precision to which sizes are rounded up. If the size
	// changed with each report, each start of a service would get a separate line
	// in the start queue.
	significantBits = 5
	// peakDecay is the factor by which each report reduces the recorded memory
	// peak. A peak has an effect for about 200 reports, since a lack of memory ends
	// a task, while a lack of CPU only slows it down.
	peakDecay = 0.995
	// minMemoryMiB is the minimum estimated memory size in mebibytes.
	minMemoryMiB = 64
	// minMemoryShare is the minimum estimated memory size as a fraction of the
	// declared one. A task may need the memory that it declared only at its end.
	minMemoryShare = 0.25
	// minCPUMillis is the minimum estimated CPU size in thousandths of a core.
	minCPUMillis = 50
)

// Report is the measured usage of one task of a service.
type Report struct {
	Service ident.ServiceName
	Used    resource.Vector
}

// Table is an immutable version of the usage of all services. A nil Table has no
// reports.
type Table struct {
	services map[ident.ServiceName]usage
}

// usage is the accumulated usage of one service.
type usage struct {
	// count is the number of reports.
	count  int
	cpu    average
	memory average
	// peak is the decaying memory peak in mebibytes (see peakDecay).
	peak float64
}

// average is the moving mean of a value and its moving mean absolute deviation.
type average struct {
	mean      float64
	deviation float64
}

// Add returns the table after more reports. It does not modify t.
func (t *Table) Add(reports []Report) *Table {
	next := &Table{services: map[ident.ServiceName]usage{}}
	if t != nil {
		maps.Copy(next.services, t.services)
	}
	for _, report := range reports {
		known := next.services[report.Service]
		next.services[report.Service] = known.withReport(report.Used)
	}
	return next
}

// withReport returns the usage after one more report.
func (u usage) withReport(used resource.Vector) usage {
	u.cpu = u.cpu.withValue(float64(used.CPU), u.count)
	u.memory = u.memory.withValue(float64(used.Memory), u.count)
	u.peak = max(u.peak*peakDecay, float64(used.Memory))
	u.count++
	return u
}

// withValue returns the average after one more value; count is the number of
// earlier values. The first values have equal weights, so that the very first one
// doesn't dominate the mean.
func (a average) withValue(value float64, count int) average {
	weight := max(reportWeight, 1/float64(count+1))
	difference := value - a.mean
	a.mean += weight * difference
	if count > 0 {
		a.deviation += weight * (math.Abs(difference) - a.deviation)
	}
	return a
}

// Size returns the amounts to reserve for a task. Until the service has minReports
// reports, they are the declared ones. After that, CPU and memory are estimated
// from the reports, but are at most what the largest worker has, since a task that
// uses more still runs there, if slowly. Slots, connections and accelerators are
// always as declared.
func (t *Table) Size(service ident.ServiceName, declared, largest resource.Vector) resource.Vector {
	if t == nil || t.services[service].count < minReports {
		return declared
	}
	known := t.services[service]
	memory := known.memory.mean
	memory += max(memoryHeadroom*known.memory.deviation, minMemoryHeadroomShare*memory)
	minimum := max(minMemoryMiB, float64(declared.Memory)*minMemoryShare)
	size := declared
	size.CPU = chooseAmount(known.cpu.mean+cpuHeadroom*known.cpu.deviation, declared.CPU, minCPUMillis, largest.CPU)
	size.Memory = chooseAmount(max(memory, known.peak), declared.Memory, minimum, largest.Memory)
	return size
}

// chooseAmount returns the declared amount if the estimated one is within
// declaredTolerance of it, else the estimated one, rounded up and at least
// minimum and at most largest.
func chooseAmount(amount float64, declared int64, minimum float64, largest int64) int64 {
	if math.Abs(amount-float64(declared)) <= declaredTolerance*float64(declared) {
		return declared
	}
	return min(roundUp(max(amount, minimum)), largest)
}

// roundUp returns an amount rounded up to significantBits significant bits.
func roundUp(amount float64) int64 {
	ceiling := int64(math.Ceil(amount))
	drop := max(bits.Len64(uint64(ceiling))-significantBits, 0)
	step := int64(1) << drop
	return (ceiling + step - 1) / step * step
}
