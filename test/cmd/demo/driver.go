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
	// callTimeout bounds one request, above the deadline of the services.
	callTimeout = 5 * time.Second
	// giveUpAfter bounds the repeats of one request. It is longer than the
	// takeover of the killed instance's workers and shards, about 13 s.
	giveUpAfter = 30 * time.Second
	minPause    = 100 * time.Millisecond
	maxPause    = time.Second
	// largeBody makes an answer cross a peer link in several frames.
	largeBody    = 40 << 10
	smallBody    = 64
	largeEvery   = 10
	tokenBlock   = 8
	jobCount     = 12
	jobSpacing   = time.Second
	pollInterval = 250 * time.Millisecond
)

// The classes of operations.
const (
	idempotent = "idempotent"
	withToken  = "token"
	withKey    = "key"
)

// client is how often operations of a class are sent, by how many goroutines.
type client struct {
	class  string
	count  int
	spaced time.Duration
}

var clients = []client{
	{idempotent, 4, 20 * time.Millisecond},
	{withToken, 2, 30 * time.Millisecond},
	{withKey, 2, 100 * time.Millisecond},
}

// operation is one thing that a caller wants done, with all its requests.
type operation struct {
	class string
	label string
	body  []byte
	// replies are in the order of the requests, which do not overlap.
	replies []cluster.Reply
	// answered is the index of the first whole answer, or -1.
	answered int
}

// job is one batch job.
type job struct {
	id       string
	full     string
	body     []byte
	label    string
	canceled bool
	state    string
	result   []byte
	// runs are what the workers ran of it.
	runs []*cluster.Run
}

// driver sends requests and keeps what became of them.
type driver struct {
	system *cluster.Cluster
	seed   uint64
	next   atomic.Uint64

	mu         sync.Mutex
	operations []*operation
	jobs       []*job
	problems   []string
}

func newDriver(system *cluster.Cluster, seed uint64) *driver {
	return &driver{system: system, seed: seed}
}

func (d *driver) problem(format string, arguments ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.problems = append(d.problems, fmt.Sprintf(format, arguments...))
}

// pick returns the address of each instance in turn, also of the killed one.
func (d *driver) pick() string {
	instances := d.system.Instances
	return instances[d.next.Add(1)%uint64(len(instances))].Caller
}

// drive sends requests for a while, with faults on the way, and returns when
// every request and job is settled or ctx ends.
func (d *driver) drive(ctx context.Context, duration time.Duration) {
	until := time.Now().Add(duration)
	var group sync.WaitGroup
	number := uint64(0)
	for _, c := range clients {
		for range c.count {
			number++
			random := rand.New(rand.NewPCG(d.seed, number))
			name := fmt.Sprintf("%s-%d", c.class, number)
			group.Go(func() { d.send(ctx, c, name, random, until) })
		}
	}
	group.Go(func() { d.submitAll(ctx, rand.New(rand.NewPCG(d.seed, 0))) })
	group.Go(func() { d.evictOne(ctx) })
	group.Go(func() { d.killOne(ctx) })
	group.Wait()
}

// send runs the operations of one goroutine.
func (d *driver) send(ctx context.Context, c client, name string, random *rand.Rand, until time.Time) {
	var tokens []string
	for number := 0; time.Now().Before(until) && ctx.Err() == nil; number++ {
		o := newOperation(c.class, fmt.Sprintf("%s-%d", name, number), random, number%largeEvery == 0)
		headers := map[string]string{}
		switch c.class {
		case withKey:
			headers[caller.HeaderKey] = uuid.Must(uuid.NewV7()).String()
		case withToken:
			if tokens = d.refill(ctx, tokens); len(tokens) == 0 {
				return
			}
			headers[caller.HeaderToken], tokens = tokens[0], tokens[1:]
		}
		d.settle(ctx, o, headers)
		tokens = append(tokens, freshTokens(o)...)
		d.mu.Lock()
		d.operations = append(d.operations, o)
		d.mu.Unlock()
		wait(ctx, c.spaced)
	}
}

func newOperation(class, label string, random *rand.Rand, large bool) *operation {
	size := smallBody
	if large {
		size = largeBody
	}
	return &operation{class: class, label: label, body: bodyOf(label, random, size), answered: -1}
}

// bodyOf returns a label line and random letters.
func bodyOf(label string, random *rand.Rand, size int) []byte {
	body := []byte(label + "\n")
	for range size {
		body = append(body, byte('a'+random.IntN(26)))
	}
	return body
}

// refill returns at least one token, unless ctx ends.
func (d *driver) refill(ctx context.Context, tokens []string) []string {
	for len(tokens) == 0 && ctx.Err() == nil {
		block, err := cluster.Tokens(ctx, d.pick(), tokenBlock)
		if err != nil {
			wait(ctx, minPause)
		}
		tokens = block
	}
	return tokens
}

// freshTokens returns the token that came with the last answer.
func freshTokens(o *operation) []string {
	if len(o.replies) == 0 || o.class != withToken {
		return nil
	}
	if last := o.replies[len(o.replies)-1]; last.Token != "" {
		return []string{last.Token}
	}
	return nil
}

// settle repeats an operation through one instance after another until it is
// answered, its outcome can't become known, or it takes too long. An answered
// operation with a key or token is repeated once more, for the same answer.
func (d *driver) settle(ctx context.Context, o *operation, headers map[string]string) {
	giveUp := time.Now().Add(giveUpAfter)
	for ctx.Err() == nil && time.Now().Before(giveUp) {
		reply := d.call(ctx, o, headers)
		if reply.Whole() {
			o.answered = len(o.replies) - 1
			break
		}
		if reply.Kind == fault.IssuerGone || reply.Kind == fault.KeyExpired {
			return
		}
		wait(ctx, min(max(reply.RetryAfter, minPause), maxPause))
	}
	if o.answered >= 0 && o.class != idempotent {
		d.repeat(ctx, o, headers)
	}
}

// repeat sends an answered operation once more, through an instance that runs.
func (d *driver) repeat(ctx context.Context, o *operation, headers map[string]string) {
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
	reply := cluster.Call(ctx, d.pick(), service, o.body, headers)
	o.replies = append(o.replies, reply)
	return reply
}

// submitAll submits the jobs and waits for their ends.
func (d *driver) submitAll(ctx context.Context, random *rand.Rand) {
	var group sync.WaitGroup
	defer group.Wait()
	for number := range jobCount {
		label := fmt.Sprintf("job-%d", number)
		j := &job{id: uuid.Must(uuid.NewV7()).String(), label: label, body: bodyOf(label, random, smallBody)}
		j.canceled = number == jobCount-1
		d.jobs = append(d.jobs, j)
		group.Go(func() { d.follow(ctx, j) })
		wait(ctx, jobSpacing)
	}
}

// follow takes one job from its submission to its end.
func (d *driver) follow(ctx context.Context, j *job) {
	submission, err := json.Marshal(map[string]any{"id": j.id, "service": "quota-rebuild", "body": j.body})
	if err != nil {
		d.problem("%s: %v", j.label, err)
		return
	}
	j.full = d.untilWhole(ctx, http.MethodPost, "/v1/jobs", submission).ID
	if j.full == "" {
		return
	}
	// A repeat through another instance must find the same job.
	if again := d.untilWhole(ctx, http.MethodPost, "/v1/jobs", submission).ID; again != j.full && ctx.Err() == nil {
		d.problem("%s: a repeat of submission %s returned %q", j.label, j.full, again)
	}
	if j.canceled {
		d.untilWhole(ctx, http.MethodDelete, "/v1/jobs/"+j.full, nil)
	}
	for ctx.Err() == nil {
		status := d.untilWhole(ctx, http.MethodGet, "/v1/jobs/"+j.full, nil)
		j.state, j.result = status.State, status.Result
		if isOver(j.state) {
			return
		}
		wait(ctx, pollInterval)
	}
}

func isOver(state string) bool {
	for _, end := range []work.JobState{work.JobSucceeded, work.JobFailed, work.JobCanceled} {
		if end.String() == state {
			return true
		}
	}
	return false
}

// jobStatus is what the demo reads of the status of a job.
type jobStatus struct {
	ID     string `json:"id"`
	State  string `json:"state"`
	Result []byte `json:"result"`
}

// untilWhole repeats a call on jobs until it succeeds or ctx ends.
func (d *driver) untilWhole(ctx context.Context, method, path string, body []byte) jobStatus {
	for ctx.Err() == nil {
		attempt, cancel := context.WithTimeout(ctx, callTimeout)
		reply := cluster.Send(attempt, method, d.pick(), path, body, nil)
		cancel()
		var status jobStatus
		if reply.Whole() && json.Unmarshal(reply.Body, &status) == nil {
			return status
		}
		if reply.Status == http.StatusBadRequest {
			d.problem("%s %s: %s", method, path, reply)
			return jobStatus{}
		}
		wait(ctx, min(max(reply.RetryAfter, minPause), maxPause))
	}
	return jobStatus{}
}

// evictOne checkpoints and stops one running job, as the platform may.
func (d *driver) evictOne(ctx context.Context) {
	wait(ctx, evictAfter)
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
		wait(ctx, pollInterval)
	}
	d.problem("no running job was found to evict")
}

// killOne ends one instance by SIGKILL.
func (d *driver) killOne(ctx context.Context) {
	wait(ctx, killAfter)
	instance := d.system.Instances[killed]
	if instance.Ended() {
		d.problem("%s ended before it was killed", instance.Name)
	}
	instance.Kill()
	fmt.Printf("killed %s\n", instance.Name)
}

func wait(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
