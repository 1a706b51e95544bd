package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/connection/operator"
	"poplarvalve/internal/connection/orderly"
	"poplarvalve/internal/process/metrics"
	"poplarvalve/internal/process/settings"
)

// With a grace period of 3.5 s or less, nothing was left for the hand-over: the instance
// stopped while it still led its cells, and they had no leader until its terms ran out.
func TestShortGracePeriodLeavesTimeForHandOver(t *testing.T) {
	for _, grace := range []time.Duration{1500 * time.Millisecond, 3 * time.Second, 6 * time.Second, 30 * time.Second} {
		balancer, handOver := drainWaits(grace)
		assert.Assert(t, handOver > 0 && balancer > 0, "%v: waits %v and %v", grace, balancer, handOver)
		assert.Assert(t, balancer <= loadBalancerDelay && balancer+handOver <= grace-handOverReserve, "%v: waits %v and %v", grace, balancer, handOver)
	}
	balancer, handOver := drainWaits(0)
	assert.Equal(t, balancer+handOver, time.Duration(0))
}

// SIGHUP ended a process that was still reading its settings, before it served.
func TestHangupDuringStartDoesNotEndProcess(t *testing.T) {
	program := filepath.Join(t.TempDir(), "poplarvalved")
	output, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput()
	assert.NilError(t, err, "%s", output)
	// A pipe as the settings file holds the process at the start until it is written.
	settingsPath := filepath.Join(t.TempDir(), "settings.ini")
	assert.NilError(t, syscall.Mkfifo(settingsPath, 0o600))
	command := exec.Command(program, "-settings", settingsPath, "entry")
	assert.NilError(t, command.Start())
	pipe, err := os.OpenFile(settingsPath, os.O_WRONLY, 0)
	assert.NilError(t, err)
	assert.NilError(t, command.Process.Signal(syscall.SIGHUP))
	assert.NilError(t, pipe.Close())
	_ = command.Wait() // The empty settings file is refused, which is not what is tested.
	assert.Assert(t, command.ProcessState.Exited(), "the process has ended: %v", command.ProcessState)
}

// SIGHUP ended a process that had stopped to reload its settings, before its last
// steps.
func TestHangupDuringStopDoesNotEndProcess(t *testing.T) {
	hangups := notifyHangups()
	d := &entryDaemon{}
	d.reloadOnHangup(hangups)()
	assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	assert.Equal(t, <-hangups, syscall.SIGHUP)
}

// Guards against a handler that the daemon doesn't register at its operator address.
func TestOperatorAddressServesConfiguration(t *testing.T) {
	anyPort := netip.MustParseAddrPort("127.0.0.1:0")
	s := &settings.EntrySettings{Name: "e", LogLevel: "info", Memory: 200, CallerAddress: anyPort, ReadyAddress: anyPort, LinkAddress: anyPort, OperatorAddress: anyPort}
	opened, err := listen(s)
	assert.NilError(t, err)
	for _, listener := range []*orderly.Listener{opened.callers, opened.readiness, opened.links, opened.operators} {
		defer listener.Close()
	}
	d := newEntryDaemon("", s, opened)
	defer d.journal.Close()
	servers := d.servers(metrics.NewEntryMetrics())
	recorder := httptest.NewRecorder()
	servers[len(servers)-1].(http.Handler).ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, operator.PathConfiguration, nil))
	assert.Equal(t, recorder.Code, http.StatusOK)
	var received operator.Configuration
	assert.NilError(t, json.Unmarshal(recorder.Body.Bytes(), &received))
	assert.Assert(t, !received.InForce, "no manifest has been read yet")
}
