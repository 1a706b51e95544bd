package overlimit

import (
	"bufio"
	"context"
	"encoding/base64"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"poplarvalve/internal/connection/caller"
	"poplarvalve/internal/process/resource"
	"poplarvalve/test/cluster"
)

// callRules are the rules of the instance for urgent calls and single-task jobs.
const callRules = `team permits weight 8   # test: ordinary calls
team rebuilds weight 2  # test: jobs of the crowd
service quota-rebuild team rebuilds class batch cpu 4 memory 8GB   # test: jobs of the crowd
service permit-check team permits class urgent cpu 250m memory 128MB idempotent deadline 2s   # test: ordinary calls
`

// startCallInstance starts the program without "entry", which serves urgent calls and single-task
// jobs, beside stubs of the platform and of a worker, and waits until it serves a call.
func startCallInstance(t *testing.T) *instance {
	t.Helper()
	dir := t.TempDir()
	output, err := exec.Command("go", "build", "-o", dir+"/", "../../cmd/poplarvalved", "../../cmd/poplarvalve", "../cmd/platformstub", "../cmd/workerstub").CombinedOutput()
	assert.NilError(t, err, "%s", output)
	if program := os.Getenv("OVERLIMIT_PROGRAM"); program != "" {
		assert.NilError(t, os.Remove(filepath.Join(dir, "poplarvalved")))
		assert.NilError(t, os.Symlink(program, filepath.Join(dir, "poplarvalved")))
	}
	system, err := cluster.Start(t.Context(), dir, cluster.Options{
		ProgramFolder: dir, Zones: 1, Instances: 1, Workers: 1,
		Capacity:           resource.Vector{CPU: 16000, Memory: 64 << 30, Slots: 64, Connections: 64},
		UrgentTaskDuration: 10 * time.Millisecond, TaskDuration: 100 * time.Millisecond, Rules: callRules,
		Settings: fmt.Sprintf("[limits]\nmemory = %dMB\nbody = %dKB\ndescriptors = %d\n", memoryMB, legalBytes>>10, maxFDs),
	})
	assert.NilError(t, err)
	started := system.Instances[0]
	i := &instance{t: t, memoryMB: memoryMB, pid: started.PID(), ended: started.Done(),
		addresses: addresses{callers: started.CallerAddress, links: started.PeerAddress, operators: started.OperatorAddress}}
	i.addressOf, i.head = i.bodyAddress, callHead
	i.restart = func() {
		started.Kill()
		assert.NilError(t, system.StartInstance(started, started.Name))
		i.pid, i.ended = started.PID(), started.Done()
	}
	i.trySubmit = func() error {
		ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
		defer cancel()
		reply := cluster.Call(ctx, started.CallerAddress, "permit-check", []byte("x"), nil)
		if !reply.Succeeded() {
			return fmt.Errorf("%v", reply)
		}
		http.DefaultClient.CloseIdleConnections()
		return nil
	}
	t.Cleanup(func() {
		system.Close()
		if t.Failed() {
			content, _ := os.ReadFile(started.LogPath)
			t.Logf("end of the log of the instance:\n%s", content[max(0, len(content)-4000):])
		}
	})
	assert.NilError(t, system.ApplyRules(t.Context()))
	i.submitOrdinary("before the crowd")
	return i
}

// callHead returns the first lines of a request with a body: of an urgent call, of a job, and of a
// change of the rules.
func callHead(number int) string {
	path := []string{"/v1/services/permit-check/call", "/v1/jobs", "/v1/rules"}[number%3]
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nPoplarvalve-Caller: crowd\r\n", path)
}

// The program for urgent calls read each body whole into memory, with nothing but 10 s to bound how
// many: 300 bodies that stopped short took it to 106 MB, and 1,500 to 289 MB.
func TestClientsOfCallInstance(t *testing.T) {
	for _, kind := range []struct {
		name  string
		check func(*instance)
	}{
		{"bodies that stop short", (*instance).checkBodiesThatStopShort},
		{"bodies piece by piece that stop short", (*instance).checkPiecesThatStopShort},
		{"huge chunk that stops short", (*instance).checkHugeChunkThatStopsShort},
		{"tiny chunks that stop short", (*instance).checkTinyChunksThatStopShort},
		{"bodies announced over the limit", (*instance).checkBodiesAnnouncedOverTheLimit},
		{"bodies sent over the limit", (*instance).checkBodiesSentOverTheLimit},
		{"large bodies", (*instance).checkLargeBodies},
		{"connections that do nothing", (*instance).checkConnectionsThatDoNothing},
		{"many header bytes", (*instance).checkManyHeaderBytes},
		{"many header lines", (*instance).checkManyHeaderLines},
		{"link messages that stop short", (*instance).checkLinkMessagesThatStopShort},
		{"answers that are never read", func(i *instance) {
			i.checkAnswersThatAreNeverRead("GET /v1/nothing HTTP/1.1\r\nHost: h\r\nPoplarvalve-Caller: crowd\r\n\r\n")
		}},
	} {
		t.Run(kind.name, func(t *testing.T) { kind.check(startCallInstance(t)) })
	}
}

// singleTaskJob returns a job with a body of 120 KB.
func singleTaskJob(id uuid.UUID) string {
	return fmt.Sprintf(`{"id":"%s","service":"quota-rebuild","body":"%s"}`, id, base64.StdEncoding.EncodeToString(make([]byte, 120<<10)))
}

// submitSingleTaskJobs submits count jobs over a connection, reads the answers, and returns the IDs
// of the accepted jobs. It reports a refusal that doesn't say when to return.
func submitSingleTaskJobs(t *testing.T, c net.Conn, count int) (accepted []uuid.UUID, refused int) {
	answers := bufio.NewReader(c)
	for range count {
		id := uuid.Must(uuid.NewV7())
		body := singleTaskJob(id)
		_ = c.SetDeadline(time.Now().Add(10 * time.Second))
		if !send(c, fmt.Sprintf("POST /v1/jobs HTTP/1.1\r\nHost: h\r\nPoplarvalve-Caller: crowd\r\nContent-Length: %d\r\n\r\n%s", len(body), body)) {
			return accepted, refused
		}
		answer, err := http.ReadResponse(answers, nil)
		if err != nil {
			return accepted, refused
		}
		_, _ = io.Copy(io.Discard, answer.Body)
		_ = answer.Body.Close()
		switch answer.StatusCode {
		case http.StatusOK:
			accepted = append(accepted, id)
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
			refused++
			if answer.Header.Get("Retry-After") == "" {
				t.Errorf("the refusal of job %s has no Retry-After", id)
			}
		}
		if answer.Close {
			return accepted, refused
		}
	}
	return accepted, refused
}

// Valid single-task jobs were accepted without a bound on memory, and each successor restored all of
// them.
func TestJobsOfCallInstanceAndItsSuccessor(t *testing.T) {
	i := startCallInstance(t)
	i.addressOf = func(int) string { return i.addresses.callers }
	var mu sync.Mutex
	var accepted []uuid.UUID
	refused := 0
	i.checkCrowd(jobCrowd, func(_ int, c net.Conn) {
		acceptedHere, refusedHere := submitSingleTaskJobs(t, c, 20)
		mu.Lock()
		defer mu.Unlock()
		accepted, refused = append(accepted, acceptedHere...), refused+refusedHere
	})
	t.Logf("%d jobs accepted, %d refused", len(accepted), refused)
	assert.Assert(t, len(accepted) > 0)
	i.maxRSS.Store(0)
	i.restart()
	i.submitOrdinary("after the restart")
	i.trySubmit = func() error {
		reply := cluster.Send(t.Context(), http.MethodPost, i.addresses.callers, "/v1/jobs", []byte(singleTaskJob(accepted[0])),
			map[string]string{caller.HeaderCaller: "crowd"})
		if reply.Status != http.StatusOK {
			return fmt.Errorf("the repeat of an accepted job: %v", reply)
		}
		return nil
	}
	i.submitOrdinary("after the restart")
	i.checkLimits()
}
