// Package cluster runs a small system as separate processes on loopback, for the
// demo and the load driver: stubs of the platform and of the workers, and entry
// instances. Close ends every process that Start has started.
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
	// region is the region of all workers and instances. The demo and the load
	// driver measure a single region.
	region = "cascades"
	// operatorToken is no secret, since the processes listen on loopback only.
	operatorToken = "loopback-operator-token"
	// pollInterval is the time between two polls of a state that is awaited.
	pollInterval = 100 * time.Millisecond
	// readyTimeout bounds the time until the system can serve requests. An
	// instance owns workers only about 8 s after it has joined.
	readyTimeout = 40 * time.Second
	// dumpTimeout bounds the time to read the state dumps of all instances.
	dumpTimeout = 5 * time.Second
	// drainTimeout bounds the time that an instance takes to end after SIGTERM:
	// its drain setting, and some time to leave the group of instances.
	drainTimeout = 25 * time.Second
	// maxWorkerConnections bounds the driver's connections to one worker.
	maxWorkerConnections = 256
)

// Options hold what Start starts, and how.
type Options struct {
	// ProgramFolder is the folder that holds the programs platformstub, workerstub,
	// poplarvalved and poplarvalve.
	ProgramFolder string
	// Zones is the number of availability zones. Workers and instances are
	// assigned to them in turn.
	Zones     int
	Instances int
	Workers   int
	// Capacity is the capacity of each worker.
	Capacity resource.Vector
	// UrgentTaskDuration is the run time of an urgent call at a worker.
	UrgentTaskDuration time.Duration
	// TaskDuration is the run time of any other task.
	TaskDuration time.Duration
	// Rules is the content of the rules file that ApplyRules applies.
	Rules string
	// Settings are sections that are added to the settings file of each instance.
	Settings string
}

// Instance is one entry instance. CallerAddress, PeerAddress and OperatorAddress
// are the IP:port addresses where it serves callers, other instances and
// operators.
type Instance struct {
	*Process
	Zone            string
	CallerAddress   string
	PeerAddress     string
	OperatorAddress string
}

// Worker is one worker stub.
type Worker struct {
	*Process
	// Address is the IP:port where the stub serves the worker protocol.
	Address string
	Zone    string
	// API gives the driver direct access to the worker, as the platform has it.
	API *worker.Client
}

// Cluster is the running system. Dir holds the logs and settings of its
// processes.
type Cluster struct {
	Dir       string
	Platform  *Process
	Workers   []*Worker
	Instances []*Instance

	options Options
	// platformAddress is the IP:port of the platform stub.
	platformAddress string
}

// Start starts every process and writes its log and its settings to dir. If it
// fails, it ends the processes that it has started.
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

// Close kills the processes that are still running.
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

// TerminateInstances sends SIGTERM to each running instance in turn and waits for
// its end. It returns an error for each instance that had to be killed or ended
// with an error.
func (c *Cluster) TerminateInstances() []error {
	var failures []error
	for _, instance := range c.Instances {
		if instance.Ended() {
			continue
		}
		if err := instance.Terminate(drainTimeout); err != nil {
			failures = append(failures, err)
		}
	}
	return failures
}

func (c *Cluster) programPath(name string) string {
	return filepath.Join(c.options.ProgramFolder, name)
}

// zoneName returns the zone of the worker or instance with that number, from 0.
func (c *Cluster) zoneName(number int) string {
	return "zone-" + strconv.Itoa(number%c.options.Zones+1)
}

func (c *Cluster) startPlatform(ctx context.Context) error {
	process, err := startProcess(c.Dir, "platform", c.programPath("platformstub"))
	if err != nil {
		return err
	}
	c.Platform = process
	c.platformAddress, err = process.waitForAddress(ctx)
	return err
}

func (c *Cluster) startWorkers(ctx context.Context) error {
	for number := range c.options.Workers {
		name := "worker-" + strconv.Itoa(number+1)
		capacity := c.options.Capacity
		process, err := startProcess(c.Dir, name, c.programPath("workerstub"), "-id", name,
			"-cpu", strconv.FormatInt(capacity.CPU, 10), "-memory", strconv.FormatInt(capacity.Memory, 10),
			"-slots", strconv.FormatInt(capacity.Slots, 10), "-connections", strconv.FormatInt(capacity.Connections, 10),
			"-service-time", c.options.UrgentTaskDuration.String(), "-duration", c.options.TaskDuration.String())
		if err != nil {
			return err
		}
		startedWorker := &Worker{Process: process, Zone: c.zoneName(number)}
		c.Workers = append(c.Workers, startedWorker)
		startedWorker.Address, err = process.waitForAddress(ctx)
		if err != nil {
			return err
		}
		startedWorker.API = worker.NewClient(startedWorker.Address, maxWorkerConnections)
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
	return requestJSON(ctx, http.MethodPost, "http://"+c.platformAddress+"/control/instances", "", body, nil)
}

// startInstances writes the operator token, and then writes the settings of each
// instance and starts it.
func (c *Cluster) startInstances(context.Context) error {
	if err := os.WriteFile(filepath.Join(c.Dir, "token"), []byte(operatorToken+"\n"), 0o600); err != nil {
		return err
	}
	addresses, err := freeAddresses(3 * c.options.Instances)
	if err != nil {
		return err
	}
	for number := range c.options.Instances {
		name := "entry-" + strconv.Itoa(number+1)
		instanceAddresses := addresses[3*number:]
		instance := &Instance{Zone: c.zoneName(number), CallerAddress: instanceAddresses[0], PeerAddress: instanceAddresses[1], OperatorAddress: instanceAddresses[2]}
		if err := os.WriteFile(c.settingsPath(name), []byte(c.settingsFile(name, instance)), 0o600); err != nil {
			return err
		}
		if err := c.StartInstance(instance, name); err != nil {
			return err
		}
		c.Instances = append(c.Instances, instance)
	}
	return nil
}

func (c *Cluster) settingsPath(name string) string { return filepath.Join(c.Dir, name+".ini") }

// StartInstance starts the process of an instance, or starts it again with the same settings and
// addresses after its end.
func (c *Cluster) StartInstance(instance *Instance, name string) (err error) {
	instance.Process, err = startProcess(c.Dir, name, c.programPath("poplarvalved"), "-settings", c.settingsPath(name))
	return err
}

// freeAddresses returns loopback addresses with free ports that the kernel
// chose. An instance does not report which port it got, so it needs fixed ones.
// Each port is released here before the instance binds it, which is safe enough
// because the kernel does not assign a released port again soon.
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

// settingsFile returns the content of an instance's settings file.
func (c *Cluster) settingsFile(name string, i *Instance) string {
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
%s`, name, i.Zone, region, i.CallerAddress, i.PeerAddress, i.OperatorAddress, c.platformAddress, c.platformAddress, filepath.Join(c.Dir, "token"), c.options.Settings)
}

// ApplyRules applies the rules with the command-line tool. It returns when every
// instance holds its lease, has the rules and sees every worker of its zone as
// ready, which means that the worker's owner may start work there. It fails if
// that takes longer than readyTimeout.
func (c *Cluster) ApplyRules(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	path := filepath.Join(c.Dir, "rules")
	if err := os.WriteFile(path, []byte(c.options.Rules), 0o600); err != nil {
		return err
	}
	arguments := []string{"--token-file", filepath.Join(c.Dir, "token")}
	for _, instance := range c.Instances {
		arguments = append(arguments, "--server", instance.OperatorAddress)
	}
	// poll may repeat the command; with the same identifier, rules that were
	// already applied are not applied again.
	arguments = append(arguments, "rules", "apply", "--base", "0", "--author", "demo", "--id", uuid.NewString(), path)
	err := c.poll(ctx, func() error {
		var output bytes.Buffer
		command := exec.CommandContext(ctx, c.programPath("poplarvalve"), arguments...)
		command.Stdout, command.Stderr = &output, &output
		if err := command.Run(); err != nil {
			return fmt.Errorf("rules apply failed: %w: %s", err, bytes.TrimSpace(output.Bytes()))
		}
		return nil
	})
	if err != nil {
		return err
	}
	return c.poll(ctx, func() error { return c.checkReady(ctx) })
}

// checkReady returns an error that says why the system can't serve yet, or nil.
func (c *Cluster) checkReady(ctx context.Context) error {
	for _, instance := range c.Instances {
		status, err := instance.Status(ctx)
		if err != nil {
			return fmt.Errorf("%s: %w", instance.Name, err)
		}
		if !status.LeaseHeld || status.RulesVersion == 0 || status.Members != len(c.Instances) {
			return fmt.Errorf("%s is not ready: lease held: %t, rules version: %d, members: %d",
				instance.Name, status.LeaseHeld, status.RulesVersion, status.Members)
		}
		if err := instance.checkWorkersReady(ctx); err != nil {
			return fmt.Errorf("%s: %w", instance.Name, err)
		}
	}
	return nil
}

// checkWorkersReady returns an error that names a worker of the instance's zone
// that can't start work yet, or nil. It skips the workers of other zones, for
// which an instance knows only totals.
func (i *Instance) checkWorkersReady(ctx context.Context) error {
	var dump struct{ Backends []workers.Worker }
	if err := requestJSON(ctx, http.MethodGet, "http://"+i.OperatorAddress+operator.PathDump, operatorToken, nil, &dump); err != nil {
		return err
	}
	if len(dump.Backends) == 0 {
		return errors.New("the instance knows no workers yet")
	}
	for _, w := range dump.Backends {
		if !w.Ready && string(w.Zone) == i.Zone {
			return fmt.Errorf("worker %s is not ready", w.ID)
		}
	}
	return nil
}

// Dump writes the state dump of each running instance to a file in Dir. It
// returns the errors of all instances whose dump it could not read or write; an
// instance that has ended is one of them.
func (c *Cluster) Dump(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, dumpTimeout)
	defer cancel()
	var failures []error
	for _, instance := range c.Instances {
		var dump json.RawMessage
		err := requestJSON(ctx, http.MethodGet, "http://"+instance.OperatorAddress+operator.PathDump, operatorToken, nil, &dump)
		if err == nil {
			err = os.WriteFile(filepath.Join(c.Dir, instance.Name+".dump.json"), dump, 0o600)
		}
		failures = append(failures, err)
	}
	return errors.Join(failures...)
}

// Status returns the instance's status from its operator address.
func (i *Instance) Status(ctx context.Context) (operator.Status, error) {
	var status operator.Status
	err := requestJSON(ctx, http.MethodGet, "http://"+i.OperatorAddress+operator.PathStatus, operatorToken, nil, &status)
	return status, err
}

// poll calls attempt every pollInterval until it succeeds. It returns the error
// of the last attempt when ctx ends, and an error with the end of the log when
// an instance has ended.
func (c *Cluster) poll(ctx context.Context, attempt func() error) error {
	for {
		err := attempt()
		if err == nil {
			return nil
		}
		for _, instance := range c.Instances {
			if instance.Ended() {
				return fmt.Errorf("%s has ended unexpectedly; the end of its log: %s", instance.Name, instance.logTail())
			}
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(pollInterval):
		}
	}
}
