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

// addressTimeout bounds the time until a stub prints its address.
const addressTimeout = 10 * time.Second

// logTailBytes is how much of the end of a log is quoted in an error.
const logTailBytes = 500

// Process is one child process. Its output is written to the file LogPath.
type Process struct {
	Name    string
	LogPath string

	command *exec.Cmd
	// firstLine receives the first line that the process prints.
	firstLine chan string
	// exited is closed when the process has ended; exitErr is then set to the
	// error that it ended with, or nil.
	exited  chan struct{}
	exitErr error
}

// startProcess starts a program whose output is written to dir/name.log. The
// kernel kills the process when the driver dies.
func startProcess(dir, name, program string, arguments ...string) (*Process, error) {
	p := &Process{
		Name:      name,
		LogPath:   filepath.Join(dir, name+".log"),
		command:   exec.Command(program, arguments...),
		firstLine: make(chan string, 1),
		exited:    make(chan struct{}),
	}
	log, err := os.Create(p.LogPath)
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
	go p.copyOutput(output, log)
	return p, nil
}

// copyOutput copies the output to the log until the process has ended, and sends
// the first line on firstLine.
func (p *Process) copyOutput(output io.Reader, log *os.File) {
	defer close(p.exited)
	defer log.Close()
	lines := bufio.NewReader(output)
	line, _ := lines.ReadString('\n')
	p.firstLine <- line
	_, _ = io.WriteString(log, line)
	_, _ = io.Copy(log, lines)
	p.exitErr = p.command.Wait()
}

// waitForAddress returns the first IP:port in the first line that the process
// prints. It fails if there is none, or after addressTimeout.
func (p *Process) waitForAddress(ctx context.Context) (string, error) {
	timer := time.NewTimer(addressTimeout)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return "", ctx.Err()
	case <-timer.C:
		return "", fmt.Errorf("%s printed no address within %s of its start", p.Name, addressTimeout)
	case line := <-p.firstLine:
		for _, word := range strings.Fields(line) {
			address := strings.TrimSuffix(word, ":")
			if _, _, err := net.SplitHostPort(address); err == nil {
				return address, nil
			}
		}
		return "", fmt.Errorf("%s printed %q as its first line, which contains no IP:port", p.Name, line)
	}
}

// Kill kills the process with SIGKILL and waits for its end.
func (p *Process) Kill() {
	// An error means that the process has already ended.
	_ = p.command.Process.Kill()
	<-p.exited
}

// Terminate sends SIGTERM and waits for the end of the process. It returns an
// error if the process ended with one. A process that has not ended after wait
// is killed, which is an error too.
func (p *Process) Terminate(wait time.Duration) error {
	_ = p.command.Process.Signal(syscall.SIGTERM)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-p.exited:
	case <-timer.C:
		p.Kill()
		return fmt.Errorf("%s did not end within %s of SIGTERM and was killed", p.Name, wait)
	}
	if p.exitErr != nil {
		return fmt.Errorf("%s ended with an error: %w", p.Name, p.exitErr)
	}
	return nil
}

// PID returns the process id.
func (p *Process) PID() int { return p.command.Process.Pid }

// Done returns a channel that is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.exited }

// Ended reports whether the process has ended.
func (p *Process) Ended() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// logTail returns the last logTailBytes of the log.
func (p *Process) logTail() string {
	content, err := os.ReadFile(p.LogPath)
	if err != nil {
		return err.Error()
	}
	return strings.TrimSpace(string(content[max(0, len(content)-logTailBytes):]))
}

// CPUTime returns the CPU time, user and system, of a process that has ended.
func (p *Process) CPUTime() time.Duration {
	state := p.command.ProcessState
	return state.UserTime() + state.SystemTime()
}

// PeakMemoryKiB returns the peak resident memory, in KiB, of a process that is
// still running. The peak that wait reports after the end can't be used: it is
// never below the memory that the driver had when it started the process.
func (p *Process) PeakMemoryKiB() (int64, error) {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return 0, err
	}
	_, after, _ := strings.Cut(string(content), "VmHWM:")
	var peak int64
	if _, err := fmt.Sscan(after, &peak); err != nil {
		return 0, fmt.Errorf("%s: reading VmHWM from the status in /proc: %w", p.Name, err)
	}
	return peak, nil
}
