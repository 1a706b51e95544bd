package cluster

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// startTimeout bounds the time until a stand-in prints its address.
const startTimeout = 10 * time.Second

// lastBytes is how much of a log goes into an error.
const lastBytes = 500

// Process is one child process. Its output goes to a file.
type Process struct {
	Name string
	Log  string

	command *exec.Cmd
	first   chan string
	done    chan struct{}
	err     error
}

// startProcess runs a program whose output goes to dir/name.log. The kernel
// ends it when the driver dies.
func startProcess(dir, name, program string, arguments ...string) (*Process, error) {
	p := &Process{
		Name:    name,
		Log:     filepath.Join(dir, name+".log"),
		command: exec.Command(program, arguments...),
		first:   make(chan string, 1),
		done:    make(chan struct{}),
	}
	log, err := os.Create(p.Log)
	if err != nil {
		return nil, err
	}
	output, err := p.command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	p.command.Stderr = log
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	go p.follow(output, log)
	return p, nil
}

// follow copies the output and waits for the end of the process.
func (p *Process) follow(output io.Reader, log *os.File) {
	defer close(p.done)
	defer log.Close()
	lines := bufio.NewReader(output)
	line, _ := lines.ReadString('\n')
	p.first <- line
	_, _ = io.WriteString(log, line)
	_, _ = io.Copy(log, lines)
	p.err = p.command.Wait()
}

// address returns the IP:port in the first line of the output.
func (p *Process) address(ctx context.Context) (string, error) {
	timer := time.NewTimer(startTimeout)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return "", ctx.Err()
	case <-timer.C:
		return "", fmt.Errorf("%s printed no address within %s", p.Name, startTimeout)
	case line := <-p.first:
		for _, word := range strings.Fields(line) {
			address := strings.TrimSuffix(word, ":")
			if _, _, err := net.SplitHostPort(address); err == nil {
				return address, nil
			}
		}
		return "", fmt.Errorf("%s printed %q and no address", p.Name, line)
	}
}

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	// A failure means that the process has ended before.
	_ = p.command.Process.Kill()
	<-p.done
}

// Terminate sends SIGTERM and returns how the process ended. One that does not
// end within wait is killed, which is an error.
func (p *Process) Terminate(wait time.Duration) error {
	_ = p.command.Process.Signal(syscall.SIGTERM)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-p.done:
	case <-timer.C:
		p.Kill()
		return fmt.Errorf("%s did not end within %s of SIGTERM", p.Name, wait)
	}
	if p.err != nil {
		return fmt.Errorf("%s ended with: %w", p.Name, p.err)
	}
	return nil
}

// Ended reports whether the process is over.
func (p *Process) Ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// lastOutput returns the end of the log.
func (p *Process) lastOutput() string {
	content, err := os.ReadFile(p.Log)
	if err != nil {
		return err.Error()
	}
	return strings.TrimSpace(string(content[max(0, len(content)-lastBytes):]))
}

// Processor returns the user and system time of a process that has ended.
func (p *Process) Processor() time.Duration {
	state := p.command.ProcessState
	return state.UserTime() + state.SystemTime()
}

// PeakKiB returns the largest resident memory so far of a process that runs.
// The figure that wait reports after the end is not used: it is at least the
// memory that the driver had when it started the process.
func (p *Process) PeakKiB() (int64, error) {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return 0, err
	}
	_, after, _ := strings.Cut(string(content), "VmHWM:")
	var peak int64
	if _, err := fmt.Sscan(after, &peak); err != nil {
		return 0, fmt.Errorf("%s: reading VmHWM: %w", p.Name, err)
	}
	return peak, nil
}
