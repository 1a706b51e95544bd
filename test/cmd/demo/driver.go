package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"poplarvalve/internal/connection/caller"
	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/work"
	"poplarvalve/test/cluster"
)

const (
	// callTimeout bounds one request. It is longer than the deadline of the
	// services.
	callTimeout = 5 * time.Second
	// retryTimeout bounds the retries of one request. It is longer than the
	// takeover of the killed instance's workers and shards (about 13 s).
	retryTimeout  = 30 * time.Second
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = time.Second
	// largeBodyBytes is large enough that an answer crosses a peer link in
	// several frames.
	largeBodyBytes    = 40 << 10
	smallBodyBytes    = 64
	largeBodyInterval = 10
	tokensPerBlock    = 8
	jobCount          = 12
	jobInterval       = time.Second
	pollInterval      = 250 * time.Millisecond
)

// The classes of operations. The class determines how an operation may be
// retried.
const (
	idempotent = "idempotent"
	withToken  = "token"
	withKey    = "key"
)

// clientGroup describes the goroutines that send operations of one class: their
// number, and the pause of each goroutine between two operations.
type clientGroup struct {
	class      string
	goroutines int
	interval   time.Duration
}

var clientGroups = []clientGroup{
	{idempotent, 4, 20 * time.Millisecond},
	{withToken, 2, 30 * time.Millisecond},
	{withKey, 2, 100 * time.Millisecond},
}

// operation is one unit of work that a caller wants done, with all requests sent
// for it.
type operation struct {
	class string
	label string
	body  []byte
	// replies holds the replies in the order of the requests, which do not
	// overlap.
	replies []cluster.Reply
	// answerIndex is the index in replies of the first complete answer, or -1.
	answerIndex int
}

// job is one batch job. id is the identifier that the client chose, and fullID
// the one under which the job was accepted.
type job struct {
	id              string
	fullID          string
	body            []byte
	label           string
	cancelRequested bool
	state           string
	result          []byte
	// runs holds the runs of the job from the histories of the workers.
	runs []*cluster.Run
}

// driver sends requests and collects their replies.
type driver struct {
	system        *cluster.Cluster
	seed          uint64
	instanceIndex atomic.Uint64

	mu         sync.Mutex
	operations []*operation
	jobs       []*job
	problems   []string
}

func newDriver(system *cluster.Cluster, seed uint64) *driver {
	return &driver{system: system, seed: seed}
}

func (d *driver) addProblem(format string, arguments ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.problems = append(d.problems, fmt.Sprintf(format, arguments...))
}

// nextAddress returns the addresses of the instances in turn, including the
// killed one.
func (d *driver) nextAddress() string {
	instances := d.system.Instances
	return instances[d.instanceIndex.Add(1)%uint64(len(instances))].CallerAddress
}

// runLoad sends requests for the given duration, evicts a job and kills an
// instance meanwhile, and returns when every request and job is resolved or ctx
// is done.
func (d *driver) runLoad(ctx context.Context, duration time.Duration) {
	until := time.Now().Add(duration)
	var group sync.WaitGroup
	number := uint64(0)
	for _, c := range clientGroups {
		for range c.goroutines {
			number++
			random := rand.New(rand.NewPCG(d.seed, number))
			name := fmt.Sprintf("%s-%d", c.class, number)
			group.Go(func() { d.runClient(ctx, c, name, random, until) })
		}
	}
	group.Go(func() { d.submitJobs(ctx, rand.New(rand.NewPCG(d.seed, 0))) })
	group.Go(func() { d.evictOneJob(ctx) })
	group.Go(func() { d.killOneInstance(ctx) })
	group.Wait()
}

// runClient sends the operations of one goroutine.
func (d *driver) runClient(ctx context.Context, c clientGroup, name string, random *rand.Rand, until time.Time) {
	var tokens []string
	for number := 0; time.Now().Before(until) && ctx.Err() == nil; number++ {
		o := newOperation(c.class, fmt.Sprintf("%s-%d", name, number), random, number%largeBodyInterval == 0)
		headers := map[string]string{}
		switch c.class {
		case withKey:
			headers[caller.HeaderKey] = uuid.Must(uuid.NewV7()).String()
		case withToken:
			if tokens = d.ensureToken(ctx, tokens); len(tokens) == 0 {
				return
			}
			headers[caller.HeaderToken], tokens = tokens[0], tokens[1:]
		}
		d.retryUntilResolved(ctx, o, headers)
		tokens = append(tokens, returnedToken(o)...)
		d.mu.Lock()
		d.operations = append(d.operations, o)
		d.mu.Unlock()
		sleep(ctx, c.interval)
	}
}

func newOperation(class, label string, random *rand.Rand, large bool) *operation {
	size := smallBodyBytes
	if large {
		size = largeBodyBytes
	}
	return &operation{class: class, label: label, body: makeBody(label, random, size), answerIndex: -1}
}

// makeBody returns a body of the label, a newline and random letters.
func makeBody(label string, random *rand.Rand, size int) []byte {
	body := []byte(label + "\n")
	for range size {
		body = append(body, byte('a'+random.IntN(26)))
	}
	return body
}

// ensureToken returns the tokens, or a fetched block of tokens if there are
// none. It returns none only if ctx is done.
func (d *driver) ensureToken(ctx context.Context, tokens []string) []string {
	for len(tokens) == 0 && ctx.Err() == nil {
		block, err := cluster.Tokens(ctx, d.nextAddress(), tokensPerBlock)
		if err != nil {
			sleep(ctx, minRetryDelay)
		}
		tokens = block
	}
	return tokens
}

// returnedToken returns the token that came with the last reply, or nil if there
// is none.
func returnedToken(o *operation) []string {
	if len(o.replies) == 0 || o.class != withToken {
		return nil
	}
	if last := o.replies[len(o.replies)-1]; last.Token != "" {
		return []string{last.Token}
	}
	return nil
}

// retryUntilResolved sends an operation through one instance after another until
// it is answered, its outcome can no longer become known, or retryTimeout has
// passed. An answered operation with a key or token is sent once more and must
// get the same answer.
func (d *driver) retryUntilResolved(ctx context.Context, o *operation, headers map[string]string) {
	retryUntil := time.Now().Add(retryTimeout)
	for ctx.Err() == nil && time.Now().Before(retryUntil) {
		reply := d.call(ctx, o, headers)
		if reply.Succeeded() {
			o.answerIndex = len(o.replies) - 1
			break
		}
		if reply.Kind == fault.IssuerGone || reply.Kind == fault.KeyExpired {
			return
		}
		sleep(ctx, min(max(reply.RetryAfter, minRetryDelay), maxRetryDelay))
	}
	if o.answerIndex >= 0 && o.class != idempotent {
		d.repeatAnswered(ctx, o, headers)
	}
}

// repeatAnswered sends an answered operation once more, through an instance that
// accepts connections.
func (d *driver) repeatAnswered(ctx context.Context, o *operation, headers map[string]string) {
	for range d.system.Instances {
		if d.call(ctx, o, headers).Outcome != cluster.NotSent {
			return
		}
	}
}

func (d *driver) call(ctx context.Context, o *operation, headers map[string]string) cluster.Reply {
	service := "issue-permit"
	if o.class == idempotent {
		service = "permit-check"
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply := cluster.Call(ctx, d.nextAddress(), service, o.body, headers)
	o.replies = append(o.replies, reply)
	return reply
}

// submitJobs submits the jobs and waits until they have ended.
func (d *driver) submitJobs(ctx context.Context, random *rand.Rand) {
	var group sync.WaitGroup
	defer group.Wait()
	for number := range jobCount {
		label := fmt.Sprintf("job-%d", number)
		j := &job{id: uuid.Must(uuid.NewV7()).String(), label: label, body: makeBody(label, random, smallBodyBytes)}
		j.cancelRequested = number == jobCount-1
		d.jobs = append(d.jobs, j)
		group.Go(func() { d.followJob(ctx, j) })
		sleep(ctx, jobInterval)
	}
}

// followJob submits one job, cancels it if planned, and polls it until it has
// ended.
func (d *driver) followJob(ctx context.Context, j *job) {
	submission, err := json.Marshal(map[string]any{"id": j.id, "service": "quota-rebuild", "body": j.body})
	if err != nil {
		d.addProblem("%s: %v", j.label, err)
		return
	}
	j.fullID = d.callUntilAnswered(ctx, http.MethodPost, "/v1/jobs", submission).ID
	if j.fullID == "" {
		return
	}
	// A repeated submission through another instance must return the same job.
	if repeatedID := d.callUntilAnswered(ctx, http.MethodPost, "/v1/jobs", submission).ID; repeatedID != j.fullID && ctx.Err() == nil {
		d.addProblem("%s: a repeat of submission %s returned %q", j.label, j.fullID, repeatedID)
	}
	if j.cancelRequested {
		d.callUntilAnswered(ctx, http.MethodDelete, "/v1/jobs/"+j.fullID, nil)
	}
	for ctx.Err() == nil {
		status := d.callUntilAnswered(ctx, http.MethodGet, "/v1/jobs/"+j.fullID, nil)
		j.state, j.result = status.State, status.Result
		if isFinal(j.state) {
			return
		}
		sleep(ctx, pollInterval)
	}
}

func isFinal(state string) bool {
	for _, end := range []work.JobState{work.JobSucceeded, work.JobFailed, work.JobCanceled} {
		if end.String() == state {
			return true
		}
	}
	return false
}

// jobStatus holds the fields of a job's status that the demo reads.
type jobStatus struct {
	ID     string `json:"id"`
	State  string `json:"state"`
	Result []byte `json:"result"`
}

// callUntilAnswered repeats a call of the job API until it succeeds or ctx is
// done. A response 400 is a problem and ends the repeats.
func (d *driver) callUntilAnswered(ctx context.Context, method, path string, body []byte) jobStatus {
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		reply := cluster.Send(callCtx, method, d.nextAddress(), path, body, nil)
		cancel()
		var status jobStatus
		if reply.Succeeded() && json.Unmarshal(reply.Body, &status) == nil {
			return status
		}
		if reply.Status == http.StatusBadRequest {
			d.addProblem("%s %s: %s", method, path, reply)
			return jobStatus{}
		}
		sleep(ctx, min(max(reply.RetryAfter, minRetryDelay), maxRetryDelay))
	}
	return jobStatus{}
}

// evictOneJob checkpoints and stops one running job, as the platform may do.
func (d *driver) evictOneJob(ctx context.Context) {
	sleep(ctx, evictionDelay)
	for ctx.Err() == nil {
		for _, w := range d.system.Workers {
			reports, err := w.API.Inventory(ctx)
			if err != nil {
				continue
			}
			for _, report := range reports {
				if report.Class != work.Batch {
					continue
				}
				if _, err := w.API.Checkpoint(ctx, report.Task); err != nil {
					continue
				}
				if _, err := w.API.Stop(ctx, report.Task); err == nil {
					fmt.Printf("stopped task %s on %s after a checkpoint\n", report.Task, w.Name)
					return
				}
			}
		}
		sleep(ctx, pollInterval)
	}
	d.addProblem("no running job was found to evict")
}

// killOneInstance ends one instance with SIGKILL.
func (d *driver) killOneInstance(ctx context.Context) {
	sleep(ctx, killDelay)
	instance := d.system.Instances[killedInstance]
	if instance.Ended() {
		d.addProblem("%s ended before it was killed", instance.Name)
	}
	instance.Kill()
	fmt.Printf("killed %s\n", instance.Name)
}

func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
