package instance

import (
	"poplarvalve/internal/connection/worker"
	"poplarvalve/internal/process/clock"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/publish"
	"poplarvalve/internal/process/work"
	"poplarvalve/internal/version/interference"
	"poplarvalve/internal/version/rules"
	"poplarvalve/internal/version/sizes"
)

// usageEstimates is an immutable version of the estimates derived from the
// usage reports of the owned workers.
type usageEstimates struct {
	sizes        *sizes.Table
	interference *interference.Table
}

// usageAgent derives estimates from the usage reports of the owned workers, and
// applies each report once. Any goroutine may read its published versions; its
// methods must be called by one goroutine only.
type usageAgent struct {
	clock     clock.Clock
	rules     *publish.Value[rules.Set]
	estimates *publish.Value[usageEstimates]
	// lastMeasurements holds the newest applied measurement of each worker.
	lastMeasurements map[ident.WorkerID]*worker.Measurement
}

func newUsageAgent(clock clock.Clock, ruleSet *publish.Value[rules.Set]) *usageAgent {
	return &usageAgent{
		clock:            clock,
		rules:            ruleSet,
		estimates:        publish.New(&usageEstimates{}),
		lastMeasurements: map[ident.WorkerID]*worker.Measurement{},
	}
}

// applyMeasurement applies a measurement of a worker, unless it was applied
// already.
func (a *usageAgent) applyMeasurement(id ident.WorkerID, measurement *worker.Measurement) {
	previous := a.lastMeasurements[id]
	if measurement == previous {
		return
	}
	a.lastMeasurements[id] = measurement
	a.estimates.Update(func(current *usageEstimates) *usageEstimates {
		next := &usageEstimates{
			sizes:        current.sizes.Add(sizeReports(measurement)),
			interference: current.interference,
		}
		if previous != nil && sameTasks(previous, measurement) {
			next.interference = current.interference.Add(slowdownReports(measurement))
		}
		return next
	})
}

// refreshEstimates ages the estimates and forgets workers that are no longer
// owned.
func (a *usageAgent) refreshEstimates(owned map[ident.WorkerID]bool) {
	for id := range a.lastMeasurements {
		if !owned[id] {
			delete(a.lastMeasurements, id)
		}
	}
	now := a.clock.Now()
	a.estimates.Update(func(current *usageEstimates) *usageEstimates {
		return &usageEstimates{sizes: current.sizes, interference: current.interference.Refresh(now)}
	})
}

// disturbance returns the largest slowdown that the tasks in a measurement
// cause to any urgent service in the rules, in thousandths.
func (a *usageAgent) disturbance(measurement *worker.Measurement) int64 {
	ruleSet := a.rules.Load()
	if ruleSet == nil {
		return 0
	}
	var urgent []ident.ServiceName
	for name, service := range ruleSet.Services {
		if service.Class == work.Urgent {
			urgent = append(urgent, name)
		}
	}
	return a.estimates.Load().interference.Disturbance(urgent, colocatedTasks(measurement, ""))
}

func sizeReports(measurement *worker.Measurement) []sizes.Report {
	var reports []sizes.Report
	for _, usage := range measurement.Tasks {
		reports = append(reports, sizes.Report{Service: usage.Service, Used: usage.Used})
	}
	return reports
}

// sameTasks reports whether two measurements show the same tasks. If they do
// not, a task was placed or ended between them, and the slowdowns in the later
// measurement may still be those of the earlier set of tasks.
func sameTasks(previous, next *worker.Measurement) bool {
	if len(previous.Tasks) != len(next.Tasks) {
		return false
	}
	previousTasks := make(map[ident.TaskID]bool, len(previous.Tasks))
	for _, usage := range previous.Tasks {
		previousTasks[usage.Task] = true
	}
	for _, usage := range next.Tasks {
		if !previousTasks[usage.Task] {
			return false
		}
	}
	return true
}

func slowdownReports(measurement *worker.Measurement) []interference.Report {
	measuredAt := measurement.ReceivedAt.Add(-measurement.Age)
	var reports []interference.Report
	for _, usage := range measurement.Tasks {
		reports = append(reports, interference.Report{
			Kind:                usage.Service,
			Colocated:           colocatedTasks(measurement, usage.Task),
			Slowdown:            usage.Slowdown,
			MeasuredAt:          measuredAt,
			LastPlacementChange: measuredAt,
		})
	}
	return reports
}

// colocatedTasks counts the tasks in a measurement by kind, leaving out one
// task.
func colocatedTasks(measurement *worker.Measurement, except ident.TaskID) []interference.RunningCount {
	counts := map[ident.ServiceName]int{}
	for _, usage := range measurement.Tasks {
		if usage.Task != except {
			counts[usage.Service]++
		}
	}
	var colocated []interference.RunningCount
	for kind, count := range counts {
		colocated = append(colocated, interference.RunningCount{Kind: kind, Count: count})
	}
	return colocated
}
