package soak

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"gotest.tools/v3/assert"
)

// gracePeriod is the time from SIGTERM until the process is killed.
const gracePeriod = 6 * time.Second

// entryInstance is one instance and the proxy through which it reaches the log.
type entryInstance struct {
	index int
	name  string
	ip    string
	proxy *proxy
	// linkAddress is the address for the links of other instances, and linkProxy the
	// proxy through which the instance opens its own, or nil.
	linkAddress string
	linkProxy   *proxy
	// settingsPath is the path of the settings file.
	settingsPath string
	// program is the path of the daemon. It changes only between two processes.
	program string

	// restarting is held while a fault ends the process and starts the next one.
	restarting sync.Mutex

	mu sync.Mutex
	// process is the newest process, which may have ended. It is nil before the
	// first one.
	process *instanceProcess
}

// instanceProcess is one process of an instance.
type instanceProcess struct {
	command   *exec.Cmd
	startedAt time.Time
	// ended is closed when the process has ended.
	ended chan struct{}
	// hasServed is set once the process has accepted a connection.
	hasServed atomic.Bool

	mu sync.Mutex
	// endRequested is set when a signal that ends the process is sent.
	endRequested bool
}

// addInstance writes the settings of an instance, which startProcess starts. The address
// depends on the seed, the index and the process identifier, so that
// deployments don't collide.
func (d *deployment) addInstance(index int) *entryInstance {
	instance := &entryInstance{index: index, name: fmt.Sprint("n", index), program: d.program, ip: fmt.Sprintf("127.%d.%d.%d", 70+d.seed%50, os.Getpid()%250+1, index+1)}
	instance.proxy = newProxy(d.t, d.log.Address())
	instance.linkAddress = instance.ip + ":8163"
	if d.network != nil {
		instance.linkAddress, instance.linkProxy = d.network.linkAddresses[index], d.network.linkProxies[index]
	}
	instance.settingsPath = filepath.Join(d.dir, instance.name+".ini")
	d.writeSettings(instance, "info")
	d.t.Cleanup(func() { d.endProcess(instance, syscall.SIGKILL) })
	return instance
}

// writeSettings writes the settings file of an instance.
func (d *deployment) writeSettings(instance *entryInstance, logLevel string) {
	text := fmt.Sprintf(`[instance]
name = %[1]s
caller_address = %[2]s:8161
ready_address = %[2]s:8162
link_address = %[7]s
operator_address = %[2]s:8164
[log]
address = %[3]s
[workers]
max_lease_ms = %[4]d
remote_factor = 2
[jobs]
keep_ended_s = 300
[limits]
memory_mb = %[9]d
max_fds = %[10]d
cpu_share = 1
grace_s = %[5]g
[evacuation]
apply_ms = %[8]s
[output]
level = %[6]s
`, instance.name, instance.ip, instance.proxy.address(), maxLease.Milliseconds(), gracePeriod.Seconds(), logLevel, instance.linkAddress, d.evacuationSetting(), soakMemoryMB, soakMaxFDs)
	// A process that starts must not read half of the file.
	assert.Check(d.t, os.WriteFile(instance.settingsPath+".new", []byte(text), 0o600))
	assert.Check(d.t, os.Rename(instance.settingsPath+".new", instance.settingsPath))
}

// current returns the newest process of the instance if it is running, or nil.
func (i *entryInstance) current() *instanceProcess {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.process == nil || i.process.hasEnded() {
		return nil
	}
	return i.process
}

func (p *instanceProcess) hasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// startProcess starts the instance's process unless it is running.
func (d *deployment) startProcess(instance *entryInstance) {
	instance.mu.Lock()
	defer instance.mu.Unlock()
	if instance.process != nil && !instance.process.hasEnded() {
		return
	}
	logFile, err := os.OpenFile(filepath.Join(d.dir, instance.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if !assert.Check(d.t, err) {
		return
	}
	defer logFile.Close() // The process has its own copy of the descriptor.
	command := exec.Command(instance.program, "-settings", instance.settingsPath, "entry")
	command.Stdout, command.Stderr = logFile, logFile
	if instance.linkProxy != nil {
		command.Env = append(os.Environ(), "NO_PROXY=", "HTTP_PROXY=http://"+instance.linkProxy.address())
	}
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if !assert.Check(d.t, command.Start()) {
		return
	}
	d.journal("%s: process %d of %s starts, links to %s", instance.name, command.Process.Pid, filepath.Base(instance.program), instance.linkAddress)
	started := &instanceProcess{command: command, startedAt: time.Now(), ended: make(chan struct{})}
	instance.process = started
	go d.awaitEnd(instance, started)
}

// awaitEnd waits for the end of a process. An end that no signal has asked for is a
// failure.
func (d *deployment) awaitEnd(instance *entryInstance, p *instanceProcess) {
	err := p.command.Wait()
	p.mu.Lock()
	requested := p.endRequested
	p.mu.Unlock()
	d.journal("%s: process %d has ended: %v", instance.name, p.command.Process.Pid, err)
	if !requested {
		d.report("the process %d of %s ended by itself: %v", p.command.Process.Pid, instance.name, err)
	}
	close(p.ended)
}

// reload tells an instance to reload its settings. It does nothing until the process
// has served, since no process can catch a signal before its own first step.
func (d *deployment) reload(instance *entryInstance) {
	p := instance.current()
	if p == nil {
		return
	}
	if !p.hasServed.Load() {
		conn, err := net.DialTimeout("tcp", instance.ip+":8162", time.Second)
		if err != nil {
			return
		}
		_ = conn.Close()
		p.hasServed.Store(true)
	}
	d.signalProcess(instance, p, syscall.SIGHUP)
}

// endProcess sends a signal to the instance's process, by its id, and waits for
// its end. Like the platform, it kills a process that has not ended within its
// grace period.
func (d *deployment) endProcess(instance *entryInstance, signal syscall.Signal) {
	p := instance.current()
	if p == nil {
		return
	}
	p.mu.Lock()
	p.endRequested = true
	p.mu.Unlock()
	d.signalProcess(instance, p, syscall.SIGCONT) // A paused process does not handle SIGTERM.
	d.signalProcess(instance, p, signal)
	select {
	case <-p.ended:
	case <-time.After(gracePeriod):
		d.t.Logf("after %.3f s: the process %d of %s has not ended within its grace period", time.Since(d.startedAt).Seconds(), p.command.Process.Pid, instance.name)
		d.signalProcess(instance, p, syscall.SIGKILL)
		<-p.ended
	}
}

// signalProcess sends a signal to a process if there is one.
func (d *deployment) signalProcess(instance *entryInstance, p *instanceProcess, signal syscall.Signal) {
	if p == nil {
		return
	}
	d.journal("%s: %v to process %d", instance.name, signal, p.command.Process.Pid)
	_ = p.command.Process.Signal(signal) // Fails if the process has ended.
}
