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

// stubSpec describes what a second process of this program serves. The stubs run
// in a process of their own, so that the measured processor time and heap are
// those of the code under measurement only.
type stubSpec struct {
	// Workers is the number of worker stubs, each with Tasks running tasks. If
	// it is zero, the process serves a stub of the log instead.
	Workers int
	Tasks   int
	// Rate is the number of entries per second that are appended to the first
	// shard.
	Rate float64
}

// stubProcess is the running second process.
type stubProcess struct {
	command   *exec.Cmd
	input     io.WriteCloser
	output    *json.Decoder
	addresses []string
}

// startStubProcess runs this program as a stub process until close is called.
func startStubProcess(spec stubSpec) (*stubProcess, error) {
	encoded, err := json.Marshal(spec)
	if err != nil {
		return nil, err
	}
	program, err := os.Executable()
	if err != nil {
		return nil, err
	}
	s := &stubProcess{command: exec.Command(program, "-stand-in", string(encoded))}
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

// counters asks the stub process for its traffic counts so far.
func (s *stubProcess) counters() counters {
	var counts counters
	if _, err := fmt.Fprintln(s.input); err != nil {
		panic(err)
	}
	if err := s.output.Decode(&counts); err != nil {
		panic(err)
	}
	return counts
}

// close ends the process, which exits when its input ends.
func (s *stubProcess) close() {
	_ = s.input.Close()
	_ = s.command.Wait()
}

// runStubs serves the stubs until the input ends, and prints the counters for
// each line of input.
func runStubs(ctx context.Context, encoded string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var spec stubSpec
	if err := json.Unmarshal([]byte(encoded), &spec); err != nil {
		return err
	}
	counted := &traffic{}
	handlers, err := stubHandlers(ctx, spec)
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

func stubHandlers(ctx context.Context, spec stubSpec) ([]http.Handler, error) {
	if spec.Workers == 0 {
		return []http.Handler{newLogStub(ctx, spec.Rate)}, nil
	}
	var handlers []http.Handler
	for _, tasks := range taskNames(spec) {
		stub, err := newWorkerStub(ctx, tasks)
		if err != nil {
			return nil, err
		}
		handlers = append(handlers, stub)
	}
	return handlers, nil
}

func newLogStub(ctx context.Context, rate float64) http.Handler {
	stub := platformstub.New(nil)
	direct := stub.Client("writer")
	go runPoisson(ctx, rate, seed, func(number int) {
		_, _ = direct.Append(ctx, ident.ShardStream(0), [][]byte{meanSizedRecord(number)})
	})
	return stub.Handler("entry")
}

// taskNames returns the names of the tasks of each worker. Both processes get
// the same names.
func taskNames(spec stubSpec) [][]ident.TaskID {
	random := newRandom()
	names := make([][]ident.TaskID, spec.Workers)
	for i := range names {
		for range spec.Tasks {
			names[i] = append(names[i], ident.AttemptTask(ident.JobID(randomID(random)), 1))
		}
	}
	return names
}

func newWorkerStub(ctx context.Context, tasks []ident.TaskID) (*workerstub.Worker, error) {
	stub := workerstub.New()
	stub.ChangeSettings(func(s *workerstub.Settings) { s.TaskDuration, s.Capacity = time.Hour, workerCapacity })
	if err := stub.RequestLease(ctx, "setup", time.Hour); err != nil {
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
		Service: "svc-012-01", Class: work.Batch, Demand: taskDemand,
	}
}
