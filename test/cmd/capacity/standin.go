package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"time"

	"poplarvalve/internal/connection/worker"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/work"
	"poplarvalve/test/platformstub"
	"poplarvalve/test/workerstub"
)

// standInSpec says what a second process of this program stands in for. The
// stand-ins run apart, so that processor time and heap are those of our side.
type standInSpec struct {
	// Workers is the number of workers, each with Tasks running tasks. Zero
	// stands in for the log instead.
	Workers int
	Tasks   int
	// Rate is how many entries a second are appended to the first shard.
	Rate float64
}

// standIn is the running second process.
type standIn struct {
	command   *exec.Cmd
	input     io.WriteCloser
	output    *json.Decoder
	addresses []string
}

// startStandIn runs this program as a stand-in until close.
func startStandIn(spec standInSpec) (*standIn, error) {
	encoded, err := json.Marshal(spec)
	if err != nil {
		return nil, err
	}
	program, err := os.Executable()
	if err != nil {
		return nil, err
	}
	s := &standIn{command: exec.Command(program, "-stand-in", string(encoded))}
	s.command.Stderr = os.Stderr
	if s.input, err = s.command.StdinPipe(); err != nil {
		return nil, err
	}
	output, err := s.command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := s.command.Start(); err != nil {
		return nil, err
	}
	s.output = json.NewDecoder(output)
	return s, s.output.Decode(&s.addresses)
}

// counters returns what the stand-in has counted so far.
func (s *standIn) counters() counters {
	var now counters
	if _, err := fmt.Fprintln(s.input); err != nil {
		panic(err)
	}
	if err := s.output.Decode(&now); err != nil {
		panic(err)
	}
	return now
}

// close ends the process, which stops when its input ends.
func (s *standIn) close() {
	_ = s.input.Close()
	_ = s.command.Wait()
}

// runStandIn serves until the input ends, and prints the counters for each
// line of input.
func runStandIn(ctx context.Context, encoded string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var spec standInSpec
	if err := json.Unmarshal([]byte(encoded), &spec); err != nil {
		return err
	}
	counted := &traffic{}
	handlers, err := standInHandlers(ctx, spec)
	if err != nil {
		return err
	}
	var addresses []string
	for _, handler := range handlers {
		address, err := serve(ctx, handler, counted)
		if err != nil {
			return err
		}
		addresses = append(addresses, address)
	}
	output := json.NewEncoder(os.Stdout)
	if err := output.Encode(addresses); err != nil {
		return err
	}
	for lines := bufio.NewScanner(os.Stdin); lines.Scan(); {
		if err := output.Encode(counted.counters()); err != nil {
			return err
		}
	}
	return nil
}

func standInHandlers(ctx context.Context, spec standInSpec) ([]http.Handler, error) {
	if spec.Workers == 0 {
		return []http.Handler{logHandler(ctx, spec.Rate)}, nil
	}
	var handlers []http.Handler
	for _, tasks := range taskNames(spec) {
		stub, err := workerWith(ctx, tasks)
		if err != nil {
			return nil, err
		}
		handlers = append(handlers, stub)
	}
	return handlers, nil
}

func logHandler(ctx context.Context, rate float64) http.Handler {
	stub := platformstub.New(nil)
	direct := stub.Client("writer")
	go poisson(ctx, rate, seed, func(number int) {
		_, _ = direct.Append(ctx, ident.ShardStream(0), [][]byte{meanRecord(number)})
	})
	return stub.Handler("entry")
}

// taskNames returns the tasks of each worker, the same in both processes.
func taskNames(spec standInSpec) [][]ident.TaskID {
	random := newRandom()
	names := make([][]ident.TaskID, spec.Workers)
	for i := range names {
		for range spec.Tasks {
			names[i] = append(names[i], ident.AttemptTask(ident.JobID(name(random)), 1))
		}
	}
	return names
}

func workerWith(ctx context.Context, tasks []ident.TaskID) (*workerstub.Worker, error) {
	stub := workerstub.New()
	stub.Change(func(s *workerstub.Settings) { s.Duration, s.Capacity = time.Hour, capacity })
	if err := stub.GrantLease(ctx, "setup", time.Hour); err != nil {
		return nil, err
	}
	for _, task := range tasks {
		if _, err := stub.Start(ctx, startCommand(task, "setup")); err != nil {
			return nil, err
		}
	}
	return stub, nil
}

func startCommand(task ident.TaskID, lease ident.LeaseID) worker.StartCommand {
	return worker.StartCommand{
		Task: task, StartLease: lease, RunLease: worker.RunLeasePeriod,
		Service: "svc-012-01", Class: work.Batch, Demand: demand,
	}
}
