package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"poplarvalve/internal/connection/worker"
	"poplarvalve/internal/process/clock"
	"poplarvalve/internal/process/ident"
)

// ownerCosts holds what one worker costs its owner.
type ownerCosts struct {
	rates
	heap float64
	// start is the cost of one start command with its reply.
	start rates
	// inventoryBytes is the size of one inventory with its request.
	inventoryBytes float64
}

// connectionCloseTime is the time in which the connections of an earlier
// measurement and their goroutines end. Without this wait, their end hides the
// memory that sessions take.
const connectionCloseTime = 3 * time.Second

// fleet is a set of worker stubs with running tasks, and the clients for them.
type fleet struct {
	*stubProcess
	clients []*worker.Client
	tasks   [][]ident.TaskID
}

// largestFleet is the number of workers of one of 21 owners.
const largestFleet = 52

// formatHeap formats a number of heap bytes, of which zero means that the heap
// was not measured.
func formatHeap(heap float64) string {
	if heap == 0 {
		return "not measured"
	}
	return formatBytes(heap)
}

func newFleet(spec stubSpec) (*fleet, error) {
	running, err := startStubProcess(spec)
	if err != nil {
		return nil, err
	}
	f := &fleet{stubProcess: running, tasks: taskNames(spec)}
	for _, address := range running.addresses {
		f.clients = append(f.clients, worker.NewClient(address, int(workerCapacity.Connections)))
	}
	return f, nil
}

// measureSessions runs a session with each worker and returns the rates and the
// heap bytes of one session. The heap is measured only if measureHeap is set,
// because that waits for connectionCloseTime first.
func (f *fleet) measureSessions(ctx context.Context, measureHeap bool) (rates, float64) {
	ctx, cancel := context.WithCancel(ctx)
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	if measureHeap {
		time.Sleep(connectionCloseTime)
	}
	before := liveBytes()
	for i, client := range f.clients {
		session := worker.NewFirstSession(client, clock.System{}, workerID(i), incarnation(0))
		for _, task := range f.tasks[i] {
			session.TrackTask(task, time.Now(), func(worker.TaskReport) {})
		}
		group.Go(func() { session.Run(ctx) })
	}
	time.Sleep(1500 * time.Millisecond)
	used := measureRates(f.counters, sampleTime)
	if !measureHeap {
		return used.dividedBy(len(f.clients)), 0
	}
	heap := float64(liveBytes()-before) / float64(len(f.clients))
	return used.dividedBy(len(f.clients)), heap
}

func measureOwner(ctx context.Context) (ownerCosts, error) {
	var o ownerCosts
	t := newTable("Owner: sessions with worker stubs over loopback (HTTP headers included)",
		"workers", "tasks each", "to worker B/s", "from worker B/s", "sum for all", "connections opened/s", "cpu for all", "heap per worker")
	for _, spec := range []stubSpec{
		{Workers: 32}, {Workers: 32, Tasks: 8},
		{Workers: 8, Tasks: tasksPerWorker}, {Workers: 32, Tasks: tasksPerWorker}, {Workers: largestFleet, Tasks: tasksPerWorker},
	} {
		f, err := newFleet(spec)
		if err != nil {
			return o, err
		}
		o.rates, o.heap = f.measureSessions(ctx, spec.Workers == largestFleet)
		f.close()
		t.row(formatCount(spec.Workers), formatCount(spec.Tasks), formatBytes(o.toServer), formatBytes(o.toClient), formatBytes(o.totalBytes()*float64(spec.Workers)),
			fmt.Sprintf("%.1f", o.opened*float64(spec.Workers)), formatShare(o.cpu*float64(spec.Workers)), formatHeap(o.heap))
	}
	t.end()
	return o, o.measureCommands(ctx)
}

// repeats is the number of calls over which the cost of one is averaged.
const repeats = 50

// measureCommands measures the cost of each command to a worker.
func (o *ownerCosts) measureCommands(ctx context.Context) error {
	f, err := newFleet(stubSpec{Workers: 1, Tasks: tasksPerWorker})
	if err != nil {
		return err
	}
	defer f.close()
	client := f.clients[0]
	lease := func(number int) ident.LeaseID {
		return ident.LeaseID(fmt.Sprintf("%s-%s-%d", incarnation(0), workerID(0), number))
	}
	t := newTable(fmt.Sprintf("Commands to a worker, mean of %d (bytes with headers)", repeats), "command", "sent", "received", "connections opened", "cpu")
	printRow := func(label string, command func(number int) error) rates {
		meanCost := f.measureRepeated(label, command)
		t.row(label, formatBytes(meanCost.toServer), formatBytes(meanCost.toClient), fmt.Sprintf("%.2f", meanCost.opened), formatMicros(meanCost.cpu))
		return meanCost
	}
	printRow("grant of a start lease", func(number int) error { return client.RequestLease(ctx, lease(number), worker.StartLeasePeriod) })
	printRow("renewal of a start lease", func(int) error { return client.RenewLease(ctx, lease(0), worker.StartLeasePeriod) })
	printRow(fmt.Sprintf("renewal of %d run leases", tasksPerWorker), func(int) error {
		_, err := client.RenewTasks(ctx, f.tasks[0], worker.RunLeasePeriod)
		return err
	})
	printRow(fmt.Sprintf("usage of %d tasks", tasksPerWorker), func(int) error { _, err := client.Usage(ctx); return err })
	inventory := printRow(fmt.Sprintf("inventory of %d tasks", tasksPerWorker), func(int) error { _, err := client.Inventory(ctx); return err })
	o.inventoryBytes = inventory.totalBytes()
	o.start = printRow("start of a task, no body", func(number int) error {
		_, err := client.Start(ctx, startCommand(ident.AttemptTask(exampleJob().ID, ident.Attempt(number+1)), lease(0)))
		return err
	})
	t.end()
	return nil
}

// measureRepeated returns the mean cost of one command. Its rates are per
// command instead of per second.
func (s *stubProcess) measureRepeated(label string, command func(number int) error) rates {
	before, cpu := s.counters(), cpuTime()
	for number := range repeats {
		if err := command(number); err != nil {
			fmt.Println(label, "failed:", err)
			break
		}
	}
	used, after := cpuTime()-cpu, s.counters()
	all := rates{
		toServer: float64(after.Received - before.Received),
		toClient: float64(after.Sent - before.Sent),
		opened:   float64(after.Opened - before.Opened),
		cpu:      used.Seconds(),
	}
	return all.dividedBy(repeats)
}
