// Package cluster runs a small system of separate processes on loopback: the
// stand-ins of the platform and of workers, and entry instances.
//
// Close ends every process that Start has started.
package cluster

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"time"

	"github.com/google/uuid"

	"poplarvalve/internal/connection/operator"
	"poplarvalve/internal/connection/platform"
	"poplarvalve/internal/connection/worker"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/resource"
	"poplarvalve/internal/version/workers"
)

const (
	// region is the only region: the demo and the load driver measure one.
	region = "cascades"
	// operatorToken is known to everyone: the processes listen on loopback only.
	operatorToken = "loopback-operator-token"
	// pollInterval is the time between two looks at a state.
	pollInterval = 100 * time.Millisecond
	// readyTimeout bounds the time until the system can serve. Instances own
	// workers about 8 s after they have joined.
	readyTimeout = 40 * time.Second
	// drainWait is the drain setting of an instance and time to leave.
	drainWait = 25 * time.Second
	// workerConnections bounds the driver's connections to one worker.
	workerConnections = 256
)

// Options say what Start starts.
type Options struct {
	// Bin is the folder of the programs.
	Bin string
	// Zones is the number of availability zones, over which workers and
	// instances are spread in turn.
	Zones     int
	Instances int
	Workers   int
	// Capacity is that of each worker.
	Capacity resource.Vector
	// ServiceTime is how long an urgent call takes at a worker.
	ServiceTime time.Duration
	// Duration is how long any other task takes.
	Duration time.Duration
	// Rules is the content of the rules file.
	Rules string
}

// Instance is one entry instance.
type Instance struct {
	*Process
	Zone     string
	Caller   string
	Peer     string
	Operator string
}

// Worker is one stand-in of a worker.
type Worker struct {
	*Process
	Address string
	Zone    string
	// API is the platform's own access to the worker.
	API *worker.Client
}

// Cluster is the whole system.
type Cluster struct {
	Dir       string
	Platform  *Process
	Workers   []*Worker
	Instances []*Instance

	options Options
	address string
}

// Start starts every process, with logs and settings in dir. After an error no
// process is left.
func Start(ctx context.Context, dir string, options Options) (*Cluster, error) {
	c := &Cluster{Dir: dir, options: options}
	steps := []func(context.Context) error{c.startPlatform, c.startWorkers, c.listWorkers, c.startInstances}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			c.Close()
			return nil, err
		}
	}
	return c, nil
}

// Close kills what still runs.
func (c *Cluster) Close() {
	for _, instance := range c.Instances {
		instance.Kill()
	}
	for _, w := range c.Workers {
		w.Kill()
	}
	if c.Platform != nil {
		c.Platform.Kill()
	}
}

// Drain sends SIGTERM to the instances that run and returns what went wrong.
func (c *Cluster) Drain() []error {
	var failures []error
	for _, instance := range c.Instances {
		if instance.Ended() {
			continue
		}
		if err := instance.Terminate(drainWait); err != nil {
			failures = append(failures, err)
		}
	}
	return failures
}

func (c *Cluster) program(name string) string {
	return filepath.Join(c.options.Bin, name)
}

func (c *Cluster) zone(number int) string {
	return "zone-" + strconv.Itoa(number%c.options.Zones+1)
}

func (c *Cluster) startPlatform(ctx context.Context) error {
	process, err := startProcess(c.Dir, "platform", c.program("platformstub"))
	if err != nil {
		return err
	}
	c.Platform = process
	c.address, err = process.address(ctx)
	return err
}

func (c *Cluster) startWorkers(ctx context.Context) error {
	for number := range c.options.Workers {
		name := "worker-" + strconv.Itoa(number+1)
		capacity := c.options.Capacity
		process, err := startProcess(c.Dir, name, c.program("workerstub"), "-id", name,
			"-cpu", strconv.FormatInt(capacity.CPU, 10), "-memory", strconv.FormatInt(capacity.Memory, 10),
			"-slots", strconv.FormatInt(capacity.Slots, 10), "-connections", strconv.FormatInt(capacity.Connections, 10),
			"-service-time", c.options.ServiceTime.String(), "-duration", c.options.Duration.String())
		if err != nil {
			return err
		}
		started := &Worker{Process: process, Zone: c.zone(number)}
		c.Workers = append(c.Workers, started)
		started.Address, err = process.address(ctx)
		if err != nil {
			return err
		}
		started.API = worker.NewClient(started.Address, workerConnections)
	}
	return nil
}

// listWorkers publishes the workers on the platform's instance list.
func (c *Cluster) listWorkers(ctx context.Context) error {
	var listed []platform.ListedInstance
	for _, w := range c.Workers {
		listed = append(listed, platform.ListedInstance{
			ID: w.Name, Address: w.Address, Kind: platform.KindWorker, Zone: ident.ZoneName(w.Zone), Region: region,
			Rack: "rack-1", State: platform.StateLive, Capacity: c.options.Capacity,
		})
	}
	body, err := json.Marshal(listed)
	if err != nil {
		return err
	}
	return exchange(ctx, http.MethodPost, "http://"+c.address+"/control/instances", "", body, nil)
}

// startInstances starts the instances after all their settings are written.
func (c *Cluster) startInstances(context.Context) error {
	if err := os.WriteFile(filepath.Join(c.Dir, "token"), []byte(operatorToken+"\n"), 0o600); err != nil {
		return err
	}
	ports, err := freeAddresses(3 * c.options.Instances)
	if err != nil {
		return err
	}
	for number := range c.options.Instances {
		name := "entry-" + strconv.Itoa(number+1)
		own := ports[3*number:]
		instance := &Instance{Zone: c.zone(number), Caller: own[0], Peer: own[1], Operator: own[2]}
		path := filepath.Join(c.Dir, name+".ini")
		if err := os.WriteFile(path, []byte(c.settings(name, instance)), 0o600); err != nil {
			return err
		}
		instance.Process, err = startProcess(c.Dir, name, c.program("poplarvalved"), "-settings", path)
		if err != nil {
			return err
		}
		c.Instances = append(c.Instances, instance)
	}
	return nil
}

// freeAddresses returns loopback addresses whose ports the kernel chose. An
// instance does not tell which port it got, so each is released for it here;
// the kernel does not hand it out again soon.
func freeAddresses(count int) ([]string, error) {
	var addresses []string
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer listener.Close()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

func (c *Cluster) settings(name string, i *Instance) string {
	return fmt.Sprintf(`[instance]
name = %s
zone = %s
region = %s
caller_address = %s
peer_address = %s
operator_address = %s
[platform]
log = %s
instances = %s
[security]
operator_token_file = %s
`, name, i.Zone, region, i.Caller, i.Peer, i.Operator, c.address, c.address, filepath.Join(c.Dir, "token"))
}

// Publish brings the rules into force with the command-line tool and returns
// when every instance holds its lease and the rules, and sees that the
// owner of every worker of its zone may start work there.
func (c *Cluster) Publish(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	path := filepath.Join(c.Dir, "rules")
	if err := os.WriteFile(path, []byte(c.options.Rules), 0o600); err != nil {
		return err
	}
	arguments := []string{"--token-file", filepath.Join(c.Dir, "token")}
	for _, instance := range c.Instances {
		arguments = append(arguments, "--server", instance.Operator)
	}
	// A repeat with the same identifier is harmless.
	arguments = append(arguments, "rules", "apply", "--base", "0", "--author", "demo", "--id", uuid.NewString(), path)
	err := c.poll(ctx, func() error {
		var output bytes.Buffer
		command := exec.CommandContext(ctx, c.program("poplarvalve"), arguments...)
		command.Stdout, command.Stderr = &output, &output
		if err := command.Run(); err != nil {
			return fmt.Errorf("rules apply: %w: %s", err, bytes.TrimSpace(output.Bytes()))
		}
		return nil
	})
	if err != nil {
		return err
	}
	return c.poll(ctx, func() error { return c.ready(ctx) })
}

// ready returns why the system can't serve yet.
func (c *Cluster) ready(ctx context.Context) error {
	for _, instance := range c.Instances {
		status, err := instance.Status(ctx)
		if err != nil {
			return fmt.Errorf("%s: %w", instance.Name, err)
		}
		if !status.LeaseHeld || status.RulesVersion == 0 || status.Members != len(c.Instances) {
			return fmt.Errorf("%s: lease held %t, rules version %d, members %d",
				instance.Name, status.LeaseHeld, status.RulesVersion, status.Members)
		}
		if err := instance.workersReady(ctx); err != nil {
			return fmt.Errorf("%s: %w", instance.Name, err)
		}
	}
	return nil
}

// workersReady returns which worker of the instance's zone can't start work.
// Of other zones an instance knows only totals.
func (i *Instance) workersReady(ctx context.Context) error {
	var dump struct{ Backends []workers.Worker }
	if err := exchange(ctx, http.MethodGet, "http://"+i.Operator+operator.PathDump, operatorToken, nil, &dump); err != nil {
		return err
	}
	if len(dump.Backends) == 0 {
		return errors.New("no workers are known")
	}
	for _, w := range dump.Backends {
		if !w.Ready && string(w.Zone) == i.Zone {
			return fmt.Errorf("%s is not ready", w.ID)
		}
	}
	return nil
}

// Status returns the state of an instance.
func (i *Instance) Status(ctx context.Context) (operator.Status, error) {
	var status operator.Status
	err := exchange(ctx, http.MethodGet, "http://"+i.Operator+operator.PathStatus, operatorToken, nil, &status)
	return status, err
}

// poll repeats a step until it succeeds, an instance or ctx ends, and then
// returns its last error.
func (c *Cluster) poll(ctx context.Context, step func() error) error {
	for {
		err := step()
		if err == nil {
			return nil
		}
		for _, instance := range c.Instances {
			if instance.Ended() {
				return fmt.Errorf("%s has ended: %s", instance.Name, instance.lastOutput())
			}
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(pollInterval):
		}
	}
}
