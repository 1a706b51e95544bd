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
	// callTimeout bounds one request, above the deadline of the services.
	callTimeout = 5 * time.Second
	// maxInFlight bounds the memory of the driver. A request above it is counted
	// and not sent.
	maxInFlight = 8192
	tokenBlock  = 256
	// pollInterval is the time between two looks at a job.
	pollInterval = 250 * time.Millisecond
)

// sent is one request that was sent, with its reply.
type sent struct {
	planned planned
	reply   cluster.Reply
	// id is the full identifier of an accepted job.
	id string
}

// driver sends the requests of one run.
type driver struct {
	options options
	targets []string
	next    atomic.Uint64
	flying  atomic.Int64

	mu     sync.Mutex
	tokens []string
	all    []sent
	report *report
}

func newDriver(o options, targets []string) *driver {
	return &driver{options: o, targets: targets, report: newReport(o)}
}

func (d *driver) target() string {
	return d.targets[d.next.Add(1)%uint64(len(d.targets))]
}

// run sends every request when it is due and waits for the replies.
func (d *driver) run(ctx context.Context) *report {
	if d.options.mix[withToken] > 0 {
		for range d.targets {
			_, _ = d.token(ctx, true)
		}
	}
	d.open(ctx, plan(d.options, "load"), d.send)
	return d.report
}

// open calls send for each request at its due time, however many are under way.
func (d *driver) open(ctx context.Context, requests func(func(planned) bool), send func(context.Context, planned, time.Time)) {
	var group sync.WaitGroup
	defer group.Wait()
	began := time.Now()
	for p := range requests {
		due := began.Add(p.due)
		if !sleepUntil(ctx, due) {
			return
		}
		if d.flying.Load() >= maxInFlight {
			d.report.skip(p.class)
			continue
		}
		d.flying.Add(1)
		group.Go(func() {
			defer d.flying.Add(-1)
			send(ctx, p, due)
		})
	}
	d.report.Seconds = time.Since(began).Seconds()
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

// send sends one request and notes its reply.
func (d *driver) send(ctx context.Context, p planned, due time.Time) {
	if p.class == asJob {
		d.submit(ctx, p, due)
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
		token, err := d.token(ctx, false)
		if err != nil {
			d.note(p, due, cluster.Reply{Received: time.Now(), Outcome: cluster.NotSent, Detail: err.Error()}, "")
			return
		}
		headers[caller.HeaderToken] = token
	}
	var group sync.WaitGroup
	if p.repeat && p.class != idempotent {
		group.Go(func() { d.again(ctx, p, service, headers) })
	}
	d.note(p, due, d.call(ctx, service, p, headers), "")
	group.Wait()
}

func (d *driver) call(ctx context.Context, service string, p planned, headers map[string]string) cluster.Reply {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply := cluster.Call(ctx, d.target(), service, p.body, headers)
	if reply.Token != "" {
		d.mu.Lock()
		d.tokens = append(d.tokens, reply.Token)
		d.mu.Unlock()
	}
	return reply
}

// again sends a repeat, whose answer must be the same as the first one.
func (d *driver) again(ctx context.Context, p planned, service string, headers map[string]string) {
	reply := d.call(ctx, service, p, headers)
	d.report.repeated()
	if reply.Whole() && !bytes.Equal(reply.Body, p.body) {
		d.report.problem("%s: the answer to the repeat is not its own", p.label)
	}
	d.mu.Lock()
	d.all = append(d.all, sent{planned: p, reply: reply})
	d.mu.Unlock()
}

// token takes a token, or fetches a block if there is none or if fetch is set.
func (d *driver) token(ctx context.Context, fetch bool) (string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.tokens) == 0 || fetch {
		d.mu.Unlock()
		block, err := cluster.Tokens(ctx, d.target(), tokenBlock)
		d.mu.Lock()
		d.tokens = append(d.tokens, block...)
		if len(d.tokens) == 0 {
			return "", fmt.Errorf("no token: %w", err)
		}
	}
	if fetch {
		return "", nil
	}
	token := d.tokens[0]
	d.tokens = d.tokens[1:]
	return token, nil
}

// submit submits a job once.
func (d *driver) submit(ctx context.Context, p planned, due time.Time) {
	id := uuid.Must(uuid.NewV7()).String()
	submission, err := json.Marshal(map[string]any{"id": id, "service": "quota-rebuild", "body": p.body})
	if err != nil {
		d.report.problem("%s: %v", p.label, err)
		return
	}
	reply, status := d.jobCall(ctx, http.MethodPost, "/v1/jobs", submission)
	d.note(p, due, reply, status.ID)
}

// jobStatus is what the driver reads of the status of a job.
type jobStatus struct {
	ID     string `json:"id"`
	State  string `json:"state"`
	Result []byte `json:"result"`
}

func (d *driver) jobCall(ctx context.Context, method, path string, body []byte) (cluster.Reply, jobStatus) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply := cluster.Send(ctx, method, d.target(), path, body, nil)
	var status jobStatus
	if reply.Whole() {
		// A reply without a status has no identifier, which note reports.
		_ = json.Unmarshal(reply.Body, &status)
	}
	return reply, status
}

// note counts a reply and checks that it is whole and its own.
func (d *driver) note(p planned, due time.Time, reply cluster.Reply, id string) {
	own := id != ""
	if p.class != asJob {
		own = bytes.Equal(reply.Body, p.body)
	}
	d.report.count(p, reply, reply.Received.Sub(due), own)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.all = append(d.all, sent{planned: p, reply: reply, id: id})
}
