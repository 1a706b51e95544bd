package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"poplarvalve/internal/connection/caller"
	"poplarvalve/test/cluster"
)

const (
	// callTimeout bounds one request. It is longer than the deadline of the
	// services.
	callTimeout = 5 * time.Second
	// maxInFlight bounds the requests in flight, and with them the memory of the
	// driver. A request beyond this limit is counted as skipped and not sent.
	maxInFlight    = 8192
	tokensPerBlock = 256
	// pollInterval is the time between two status requests for a job.
	pollInterval = 250 * time.Millisecond
)

// sentRequest is a request that was sent, with its reply.
type sentRequest struct {
	request plannedRequest
	reply   cluster.Reply
	// id is the full identifier of an accepted job, or empty.
	id string
}

// driver sends the requests of one run and collects their replies.
type driver struct {
	options     options
	targets     []string
	targetIndex atomic.Uint64
	inFlight    atomic.Int64

	mu           sync.Mutex
	tokens       []string
	sentRequests []sentRequest
	report       *report
}

func newDriver(o options, targets []string) *driver {
	return &driver{options: o, targets: targets, report: newReport(o)}
}

func (d *driver) nextTarget() string {
	return d.targets[d.targetIndex.Add(1)%uint64(len(d.targets))]
}

// run sends every request when it is due, waits for the replies, and returns the
// report.
func (d *driver) run(ctx context.Context) *report {
	if d.options.mix[withToken] > 0 {
		for range d.targets {
			_, _ = d.takeToken(ctx, true)
		}
	}
	d.sendOnSchedule(ctx, planRequests(d.options, "load"), d.send)
	return d.report
}

// sendOnSchedule calls send for each request at its due time, without waiting
// for earlier requests to finish. It returns when all calls have returned.
func (d *driver) sendOnSchedule(ctx context.Context, requests func(func(plannedRequest) bool), send func(context.Context, plannedRequest, time.Time)) {
	var group sync.WaitGroup
	defer group.Wait()
	start := time.Now()
	for p := range requests {
		due := start.Add(p.due)
		if !sleepUntil(ctx, due) {
			return
		}
		if d.inFlight.Load() >= maxInFlight {
			d.report.countSkipped(p.class)
			continue
		}
		d.inFlight.Add(1)
		group.Go(func() {
			defer d.inFlight.Add(-1)
			send(ctx, p, due)
		})
	}
	d.report.Seconds = time.Since(start).Seconds()
}

func sleepUntil(ctx context.Context, due time.Time) bool {
	left := time.Until(due)
	if left <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// send sends one request, and a repeat of it if planned, and records the
// replies.
func (d *driver) send(ctx context.Context, p plannedRequest, due time.Time) {
	if p.class == asJob {
		d.submitJob(ctx, p, due)
		return
	}
	headers := map[string]string{}
	service := "issue-permit"
	switch p.class {
	case idempotent:
		service = "permit-check"
	case withKey:
		headers[caller.HeaderKey] = uuid.Must(uuid.NewV7()).String()
	case withToken:
		token, err := d.takeToken(ctx, false)
		if err != nil {
			d.recordReply(p, due, cluster.Reply{ReceivedAt: time.Now(), Outcome: cluster.NotSent, Detail: err.Error()}, "")
			return
		}
		headers[caller.HeaderToken] = token
	}
	var group sync.WaitGroup
	if p.repeat && p.class != idempotent {
		group.Go(func() { d.sendRepeat(ctx, p, service, headers) })
	}
	d.recordReply(p, due, d.callService(ctx, service, p, headers), "")
	group.Wait()
}

func (d *driver) callService(ctx context.Context, service string, p plannedRequest, headers map[string]string) cluster.Reply {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply := cluster.Call(ctx, d.nextTarget(), service, p.body, headers)
	if reply.Token != "" {
		d.mu.Lock()
		d.tokens = append(d.tokens, reply.Token)
		d.mu.Unlock()
	}
	return reply
}

// sendRepeat sends a request a second time and checks that an answer equals the
// request body, as the first answer must.
func (d *driver) sendRepeat(ctx context.Context, p plannedRequest, service string, headers map[string]string) {
	reply := d.callService(ctx, service, p, headers)
	d.report.countRepeat()
	if reply.Succeeded() && !bytes.Equal(reply.Body, p.body) {
		d.report.addProblem("%s: the answer to the repeated request differs from the request body", p.label)
	}
	d.mu.Lock()
	d.sentRequests = append(d.sentRequests, sentRequest{request: p, reply: reply})
	d.mu.Unlock()
}

// takeToken returns a request token. It fetches a block of tokens first if none
// is left. If fetch is set, it only fetches a block and returns an empty string.
func (d *driver) takeToken(ctx context.Context, fetch bool) (string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.tokens) == 0 || fetch {
		d.mu.Unlock()
		block, err := cluster.Tokens(ctx, d.nextTarget(), tokensPerBlock)
		d.mu.Lock()
		d.tokens = append(d.tokens, block...)
		if len(d.tokens) == 0 {
			return "", fmt.Errorf("no request token available: %w", err)
		}
	}
	if fetch {
		return "", nil
	}
	token := d.tokens[0]
	d.tokens = d.tokens[1:]
	return token, nil
}

// submitJob submits a job once and records the reply.
func (d *driver) submitJob(ctx context.Context, p plannedRequest, due time.Time) {
	id := uuid.Must(uuid.NewV7()).String()
	submission, err := json.Marshal(map[string]any{"id": id, "service": "quota-rebuild", "body": p.body})
	if err != nil {
		d.report.addProblem("%s: %v", p.label, err)
		return
	}
	reply, status := d.callJobAPI(ctx, http.MethodPost, "/v1/jobs", submission)
	d.recordReply(p, due, reply, status.ID)
}

// jobStatus holds the fields of a job's status that the driver reads.
type jobStatus struct {
	ID     string `json:"id"`
	State  string `json:"state"`
	Result []byte `json:"result"`
}

func (d *driver) callJobAPI(ctx context.Context, method, path string, body []byte) (cluster.Reply, jobStatus) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply := cluster.Send(ctx, method, d.nextTarget(), path, body, nil)
	var status jobStatus
	if reply.Succeeded() {
		// A body that can't be decoded leaves the identifier empty, which
		// recordReply reports as a problem.
		_ = json.Unmarshal(reply.Body, &status)
	}
	return reply, status
}

// recordReply counts a reply and checks that it matches its request: an answer
// must equal the request body, and a job submission must return an identifier.
func (d *driver) recordReply(p plannedRequest, due time.Time, reply cluster.Reply, id string) {
	matches := id != ""
	if p.class != asJob {
		matches = bytes.Equal(reply.Body, p.body)
	}
	d.report.countReply(p, reply, reply.ReceivedAt.Sub(due), matches)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sentRequests = append(d.sentRequests, sentRequest{request: p, reply: reply, id: id})
}
