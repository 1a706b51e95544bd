package overlimit

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// jobCrowd is the number of clients that submit valid jobs.
const jobCrowd = 300

// jobsRig is an instance and a crowd that submits valid jobs, while the ordinary caller has an
// address of its own.
type jobsRig struct {
	*instance
	// accepted is the path of a job of the crowd that was accepted, and body its content.
	accepted atomic.Pointer[string]
	body     string
	// rounds is the number of crowds so far. Each submits jobs of its own.
	rounds int
	// unexplained is a refusal that doesn't say when to return.
	unexplained atomic.Pointer[string]
	admitted    atomic.Int64
	refused     atomic.Int64
}

func startJobsRig(t *testing.T, memoryMB int, body string) *jobsRig {
	t.Helper()
	i := startInstanceWith(t, memoryMB)
	i.addressOf = func(int) string { return i.addresses.callers }
	i.ordinaryAddress = &net.TCPAddr{IP: net.IPv4(127, 3, 3, 3)}
	return &jobsRig{instance: i, body: body}
}

// submitJobs submits count jobs over a connection and reads the answers.
func (r *jobsRig) submitJobs(number, count int, c net.Conn) {
	answers := bufio.NewReader(c)
	for k := range count {
		path := fmt.Sprintf("/j/%08x%08x", 0xf000+number, k)
		request := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", path, len(r.body), r.body)
		_ = c.SetDeadline(time.Now().Add(5 * time.Second))
		if !send(c, request) {
			return
		}
		answer, err := http.ReadResponse(answers, nil)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, answer.Body)
		_ = answer.Body.Close()
		switch answer.StatusCode {
		case http.StatusOK:
			r.admitted.Add(1)
			r.accepted.Store(&path)
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
			r.refused.Add(1)
			if answer.Header.Get("Retry-After") == "" {
				r.unexplained.Store(&path)
			}
		}
		if answer.Close {
			return
		}
	}
}

// checkJobs lets the crowd submit count jobs each, and checks what must hold.
func (r *jobsRig) checkJobs(count int) {
	r.t.Helper()
	first := r.rounds * jobCrowd
	r.rounds++
	r.checkCrowd(jobCrowd, func(number int, c net.Conn) { r.submitJobs(first+number, count, c) })
	r.checkAnswers()
}

// checkAnswers checks that a job of the crowd that was accepted is accepted when it is submitted
// again, and that refusals said when to return.
func (r *jobsRig) checkAnswers() {
	r.t.Helper()
	r.t.Logf("%d jobs accepted, %d refused", r.admitted.Load(), r.refused.Load())
	if path := r.unexplained.Load(); path != nil {
		r.t.Errorf("the refusal of %s has no Retry-After", *path)
	}
	path := r.accepted.Load()
	if path == nil {
		r.t.Error("no job of the crowd was accepted")
		return
	}
	var err error
	for range maxTries { // A refusal for another reason, such as a log that is slow, may precede.
		if err = r.post(*path, r.body); err == nil {
			return
		}
		time.Sleep(tryPause)
	}
	r.t.Errorf("the repeat of %s, which was accepted: %v", *path, err)
}

// jobOfSteps returns a job of 64 steps whose image names have 1,000 bytes, with a spec of 4,000.
func jobOfSteps() string {
	steps := make([]string, 64)
	for i := range steps {
		steps[i] = fmt.Sprintf(`{"count":1,"cpu":1000,"mem_mb":100,"estimate_ms":100,"image":"%s%02d"}`, strings.Repeat("i", 998), i)
	}
	return fmt.Sprintf(`{"spec":"%s","steps":[%s]}`, strings.Repeat("s", 4000), strings.Join(steps, ","))
}

// jobOfTasks returns a job of one step with a spec of 4,000 bytes.
func jobOfTasks(tasks int) string {
	return fmt.Sprintf(`{"spec":"%s","steps":[{"count":%d,"cpu":1000,"mem_mb":100,"estimate_ms":100}]}`, strings.Repeat("s", 4000), tasks)
}

// The specifications of accepted jobs were kept without a bound: 118 MB of 64 MB.
func TestJobsOfManyStepsOnSmallMachine(t *testing.T) {
	startJobsRig(t, memoryMB, jobOfSteps()).checkJobs(10)
}

// Beside the specifications, the tasks that are open took up to 151 MB of 64 MB.
func TestJobsOfManyTasksOnSmallMachine(t *testing.T) {
	startJobsRig(t, memoryMB, jobOfTasks(4096)).checkJobs(200)
}

// As TestJobsOfManyStepsOnSmallMachine on the smallest machine of a deployment: 350 MB of 184 MB.
func TestJobsOfManySteps(t *testing.T) {
	startJobsRig(t, smallestMachineMB, jobOfSteps()).checkJobs(100)
}

// Many jobs of one task each kept growing, 133 MB after 10 s.
func TestManyJobs(t *testing.T) {
	startJobsRig(t, smallestMachineMB, jobOfTasks(1)).checkJobs(2000)
}

// A crowd with an address for each client must not use up the room of an ordinary caller.
func TestJobsFromManyAddresses(t *testing.T) {
	r := startJobsRig(t, memoryMB, jobOfSteps())
	r.source = func(number int) net.Addr {
		return &net.TCPAddr{IP: net.IPv4(127, 4, byte(number/250), byte(number%250+1))}
	}
	r.checkJobs(10)
}

// Jobs that are canceled at once were kept with their specifications until the time for status
// queries was over.
func TestJobsThatAreCanceled(t *testing.T) {
	r := startJobsRig(t, memoryMB, jobOfSteps())
	r.checkCrowd(jobCrowd, func(number int, c net.Conn) {
		for k := range 10 {
			r.submitJobs(number<<8+k, 1, c)
			exchange(c, fmt.Sprintf("DELETE /j/%08x%08x HTTP/1.1\r\nHost: h\r\n\r\n", 0xf000+number<<8+k, 0), 1)
		}
	})
	r.checkAnswers()
}

// A leader that held 691 MB was killed. Its successor served nothing for 25 s and took 1,097 MB to
// restore what it had accepted, and so did each one after it.
func TestSuccessorOfLeaderAtPeak(t *testing.T) {
	r := startJobsRig(t, smallestMachineMB, jobOfSteps())
	r.checkJobs(40)
	r.maxRSS.Store(0)
	r.restart()
	r.submitOrdinary("after the restart")
	r.checkAnswers()
	r.checkLimits()
}

// The same on a small machine, and the successor is killed as well, at the peak of another crowd.
func TestSuccessorsOfLeadersOnSmallMachine(t *testing.T) {
	r := startJobsRig(t, memoryMB, jobOfSteps())
	for range 2 {
		r.checkJobs(10)
		r.maxRSS.Store(0)
		r.restart()
		r.submitOrdinary("after the restart")
		r.checkAnswers()
		r.checkLimits()
	}
}

// Tasks that ask for nothing all run at once, whatever the size of the backend server, and a run takes
// more memory than a task that waits.
func TestJobsOfTasksThatAskForNothing(t *testing.T) {
	job := fmt.Sprintf(`{"spec":"%s","steps":[{"count":4096,"estimate_ms":100}]}`, strings.Repeat("s", 4000))
	startJobsRig(t, memoryMB, job).checkJobs(20)
}

// Periodic jobs whose occurrences are all due opened as many tasks as a fixed number allowed.
func TestPeriodicJobsThatAreDue(t *testing.T) {
	job := fmt.Sprintf(`{"spec":"%s","first_run_ms":1,"interval_ms":1,"repeat_count":100000,"steps":[{"count":16,"cpu":1000,"mem_mb":100,"estimate_ms":100}]}`, strings.Repeat("s", 4000))
	startJobsRig(t, memoryMB, job).checkJobs(20)
}
