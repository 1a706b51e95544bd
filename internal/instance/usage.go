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

// learnt is one version of what the usage reports of the owned workers say.
type learnt struct {
	sizes        *sizes.Table
	interference *interference.Table
}

// usageAgent folds each usage report of the owned workers once. Its versions may
// be read by any thread; its methods are called by one goroutine.
type usageAgent struct {
	clock clock.Clock
	rules *publish.Cell[rules.Set]
	known *publish.Cell[learnt]
	// last holds the newest folded measurement of each worker.
	last map[ident.WorkerID]*worker.Measurement
}

func newUsageAgent(clock clock.Clock, set *publish.Cell[rules.Set]) *usageAgent {
	return &usageAgent{
		clock: clock,
		rules: set,
		known: publish.New(&learnt{}),
		last:  map[ident.WorkerID]*worker.Measurement{},
	}
}

// measured folds a measurement that was not folded before.
func (a *usageAgent) measured(id ident.WorkerID, now *worker.Measurement) {
	before := a.last[id]
	if now == before {
		return
	}
	a.last[id] = now
	a.known.Update(func(current *learnt) *learnt {
		next := &learnt{
			sizes:        current.sizes.Fold(sizesOf(now)),
			interference: current.interference,
		}
		if before != nil && sameTasks(before, now) {
			next.interference = current.interference.Fold(slowdowns(now))
		}
		return next
	})
}

// refresh ages the estimates and forgets workers that are not owned any more.
func (a *usageAgent) refresh(owned map[ident.WorkerID]bool) {
	for id := range a.last {
		if !owned[id] {
			delete(a.last, id)
		}
	}
	now := a.clock.Now()
	a.known.Update(func(current *learnt) *learnt {
		return &learnt{sizes: current.sizes, interference: current.interference.Refresh(now)}
	})
}

// disturbance returns the largest slowdown that the tasks of a measurement cause
// to any urgent service of the rules, in thousandths.
func (a *usageAgent) disturbance(now *worker.Measurement) int64 {
	set := a.rules.Load()
	if set == nil {
		return 0
	}
	var urgent []ident.ServiceName
	for name, service := range set.Services {
		if service.Class == work.Urgent {
			urgent = append(urgent, name)
		}
	}
	return a.known.Load().interference.Disturbance(urgent, runningBeside(now, ""))
}

func sizesOf(measured *worker.Measurement) []sizes.Report {
	var reports []sizes.Report
	for _, usage := range measured.Tasks {
		reports = append(reports, sizes.Report{Service: usage.Service, Used: usage.Used})
	}
	return reports
}

// sameTasks reports whether two measurements show the same tasks. If they don't,
// a task was placed or ended between them, and the slowdowns of the later one may
// still be those of the earlier set.
func sameTasks(before, now *worker.Measurement) bool {
	if len(before.Tasks) != len(now.Tasks) {
		return false
	}
	named := make(map[ident.TaskID]bool, len(before.Tasks))
	for _, usage := range before.Tasks {
		named[usage.Task] = true
	}
	for _, usage := range now.Tasks {
		if !named[usage.Task] {
			return false
		}
	}
	return true
}

func slowdowns(measured *worker.Measurement) []interference.Report {
	at := measured.Arrived.Add(-measured.Age)
	var reports []interference.Report
	for _, usage := range measured.Tasks {
		reports = append(reports, interference.Report{
			Kind:     usage.Service,
			Beside:   runningBeside(measured, usage.Task),
			Slowdown: usage.Slowdown,
			Measured: at,
			Placed:   at,
		})
	}
	return reports
}

// runningBeside counts the tasks of a measurement by kind, but for one.
func runningBeside(measured *worker.Measurement, except ident.TaskID) []interference.Running {
	counts := map[ident.ServiceName]int{}
	for _, usage := range measured.Tasks {
		if usage.Task != except {
			counts[usage.Service]++
		}
	}
	var running []interference.Running
	for kind, count := range counts {
		running = append(running, interference.Running{Kind: kind, Count: count})
	}
	return running
}
