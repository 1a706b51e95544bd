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

// owner is what one worker costs its owner.
type owner struct {
	rates
	heap float64
	// start is the cost of one start with its reply.
	start rates
	// inventory is the bytes of one inventory with its request.
	inventory float64
}

// settling is the time in which the connections of an earlier measurement and
// their goroutines end; without it their end hides what sessions take.
const settling = 3 * time.Second

// fleet is a number of stand-in workers with running tasks.
type fleet struct {
	*standIn
	clients []*worker.Client
	tasks   [][]ident.TaskID
}

// largestFleet is the workers of one of 21 owners.
const largestFleet = 52

// heapCell leaves out a heap that was not measured.
func heapCell(heap float64) string {
	if heap == 0 {
		return "not measured"
	}
	return amount(heap)
}

func newFleet(spec standInSpec) (*fleet, error) {
	running, err := startStandIn(spec)
	if err != nil {
		return nil, err
	}
	f := &fleet{standIn: running, tasks: taskNames(spec)}
	for _, address := range running.addresses {
		f.clients = append(f.clients, worker.NewClient(address, int(capacity.Connections)))
	}
	return f, nil
}

// sessions runs a session with each worker and returns the rates and the heap
// of one. The heap is measured only on request, because it takes settling.
func (f *fleet) sessions(ctx context.Context, settle bool) (rates, float64) {
	ctx, cancel := context.WithCancel(ctx)
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	if settle {
		time.Sleep(settling)
	}
	before := live()
	for i, client := range f.clients {
		session := worker.NewSession(client, clock.System{}, workerID(i), incarnation(0))
		for _, task := range f.tasks[i] {
			session.Keep(task, time.Now(), func(worker.TaskReport) {})
		}
		group.Go(func() { session.Run(ctx) })
	}
	time.Sleep(1500 * time.Millisecond)
	used := during(f.counters, window)
	if !settle {
		return used.per(len(f.clients)), 0
	}
	heap := float64(live()-before) / float64(len(f.clients))
	return used.per(len(f.clients)), heap
}

func measureOwner(ctx context.Context) (owner, error) {
	var o owner
	t := newTable("Owner: sessions with stand-in workers over loopback (HTTP headers included)",
		"workers", "tasks each", "to worker B/s", "from worker B/s", "sum for all", "connections opened/s", "cpu for all", "heap per worker")
	for _, spec := range []standInSpec{
		{Workers: 32}, {Workers: 32, Tasks: 8},
		{Workers: 8, Tasks: tasksPerWorker}, {Workers: 32, Tasks: tasksPerWorker}, {Workers: largestFleet, Tasks: tasksPerWorker},
	} {
		f, err := newFleet(spec)
		if err != nil {
			return o, err
		}
		o.rates, o.heap = f.sessions(ctx, spec.Workers == largestFleet)
		f.close()
		t.row(count(spec.Workers), count(spec.Tasks), amount(o.toServer), amount(o.toClient), amount(o.bytes()*float64(spec.Workers)),
			fmt.Sprintf("%.1f", o.opened*float64(spec.Workers)), share(o.cpu*float64(spec.Workers)), heapCell(o.heap))
	}
	t.end()
	return o, o.measureCommands(ctx)
}

// repeats is over how many calls the cost of one is averaged.
const repeats = 50

// measureCommands counts what single commands cost.
func (o *owner) measureCommands(ctx context.Context) error {
	f, err := newFleet(standInSpec{Workers: 1, Tasks: tasksPerWorker})
	if err != nil {
		return err
	}
	defer f.close()
	client := f.clients[0]
	lease := func(number int) ident.LeaseID {
		return ident.LeaseID(fmt.Sprintf("%s-%s-%d", incarnation(0), workerID(0), number))
	}
	t := newTable(fmt.Sprintf("Commands to a worker, mean of %d (bytes with headers)", repeats), "command", "sent", "received", "connections opened", "cpu")
	print := func(label string, command func(number int) error) rates {
		one := f.repeat(label, command)
		t.row(label, amount(one.toServer), amount(one.toClient), fmt.Sprintf("%.2f", one.opened), microseconds(one.cpu))
		return one
	}
	print("grant of a start lease", func(number int) error { return client.GrantLease(ctx, lease(number), worker.StartLeasePeriod) })
	print("renewal of a start lease", func(int) error { return client.RenewLease(ctx, lease(0), worker.StartLeasePeriod) })
	print(fmt.Sprintf("renewal of %d run leases", tasksPerWorker), func(int) error {
		_, err := client.RenewTasks(ctx, f.tasks[0], worker.RunLeasePeriod)
		return err
	})
	print(fmt.Sprintf("usage of %d tasks", tasksPerWorker), func(int) error { _, err := client.Usage(ctx); return err })
	listing := print(fmt.Sprintf("inventory of %d tasks", tasksPerWorker), func(int) error { _, err := client.Inventory(ctx); return err })
	o.inventory = listing.bytes()
	o.start = print("start of a task, no body", func(number int) error {
		_, err := client.Start(ctx, startCommand(ident.AttemptTask(exampleJob().ID, ident.Attempt(number+1)), lease(0)))
		return err
	})
	t.end()
	return nil
}

// repeat returns the mean cost of a command; its rates are per command.
func (s *standIn) repeat(label string, command func(number int) error) rates {
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
	return all.per(repeats)
}
