package instance_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/connection/peer"
	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/work"
	"poplarvalve/test/platformstub"
	"poplarvalve/test/workerstub"
)

var (
	firstFaultSeed = flag.Uint64("faults.seed", 1, "first seed of the fault test")
	faultSeedCount = flag.Uint64("faults.seeds", 3, "number of consecutive seeds that the fault test runs with")
)

// faultDuration is how long faults are injected in one run.
const faultDuration = 90 * time.Second

// sentRequest is one request of a fault test, with the answers to all its
// attempts.
type sentRequest struct {
	body      string
	withToken bool
	answers   []timedAnswer
}

// timedAnswer is the answer to one attempt, with the time at which the attempt
// was sent.
type timedAnswer struct {
	work.Answer
	sentAt time.Time
}

// faultTest sends requests while it injects faults chosen by a seeded random
// source.
type faultTest struct {
	*testSystem
	random   *rand.Rand
	mu       sync.Mutex
	requests []*sentRequest
	group    sync.WaitGroup
}

// Under random faults, a request with a token must run at most once, a NotRun
// answer must be true, an answer must belong to its request, and no worker may
// hold more tasks than its capacity. The faults are: instances are killed,
// replaced and drained; the log is down, slow or loses replies; links drop,
// repeat, reorder and delay messages, and are closed; workers lose commands and
// replies, and restart.
func TestGuaranteesHoldUnderRandomFaults(t *testing.T) {
	for seed := *firstFaultSeed; seed < *firstFaultSeed+*faultSeedCount; seed++ {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			runSystem(t, 5, func(t *testing.T, s *testSystem) {
				run := &faultTest{testSystem: s, random: rand.New(rand.NewPCG(seed, 2))}
				run.sendUnderFaults(t)
				run.checkAllRequests(t)
				time.Sleep(recoveryTime)
				run.checkRecovery(t)
			})
		})
	}
}

// sendUnderFaults sends requests and injects a fault about every two seconds.
func (r *faultTest) sendUnderFaults(t *testing.T) {
	nextFault := time.Now().Add(2 * time.Second)
	for index := 0; index < int(faultDuration/(50*time.Millisecond)); index++ {
		time.Sleep(50 * time.Millisecond)
		if time.Now().After(nextFault) {
			r.injectFault(t)
			nextFault = time.Now().Add(time.Duration(r.random.IntN(4000)) * time.Millisecond)
		}
		r.sendRequest(index)
	}
	r.network.SetFaults(peer.Faults{})
	r.platform.ChangeFaults(func(faults *platformstub.Faults) { *faults = platformstub.Faults{} })
	r.group.Wait()
}

// randomLiveInstance returns the index of a running instance.
func (r *faultTest) randomLiveInstance() int {
	for {
		if i := r.random.IntN(len(r.nodes)); r.nodes[i] != nil {
			return i
		}
	}
}

// sendRequest sends one request. Every second request carries a token, and is
// sent again through two more instances.
func (r *faultTest) sendRequest(index int) {
	sent := &sentRequest{body: fmt.Sprintf("body-%d", index), withToken: index%2 == 0}
	request := work.Request{Service: "permit-check", Body: []byte(sent.body)}
	targets := []int{r.randomLiveInstance()}
	if sent.withToken {
		tokens := r.nodes[r.randomLiveInstance()].FrontEnd().IssueTokens(1)
		if len(tokens) == 0 {
			return
		}
		request.Service, request.Token = "issue-permit", tokens[0]
		targets = append(targets, r.randomLiveInstance(), r.randomLiveInstance())
	}
	r.requests = append(r.requests, sent)
	for try, i := range targets {
		request.ID = ident.RequestID(fmt.Sprintf("%s-%d", sent.body, try))
		delay := time.Duration(r.random.IntN(try*1500+1)) * time.Millisecond
		node := r.nodes[i]
		attempt := request
		attempt.Caller, attempt.Remaining = "hiker", 2*time.Second
		r.group.Go(func() {
			time.Sleep(delay)
			sentAt := time.Now()
			answer := node.FrontEnd().Serve(context.Background(), attempt)
			r.mu.Lock()
			defer r.mu.Unlock()
			sent.answers = append(sent.answers, timedAnswer{answer, sentAt})
		})
	}
}

// injectFault starts or ends one random fault.
func (r *faultTest) injectFault(t *testing.T) {
	switch r.random.IntN(9) {
	case 0:
		r.network.SetFaults(peer.Faults{Drop: 0.01, Duplicate: 0.05, Reorder: 0.02, CloseConnection: 0.01, MaxDelay: 20 * time.Millisecond})
	case 1:
		r.network.SetFaults(peer.Faults{})
	case 2:
		r.replaceInstance(t, func(i int) { r.killInstance(i) })
	case 3:
		r.replaceInstance(t, func(i int) { r.shutDownInstance(i) })
	case 4:
		r.platform.ChangeFaults(func(faults *platformstub.Faults) { faults.Outage = true })
		time.AfterFunc(time.Duration(r.random.IntN(15000))*time.Millisecond, func() {
			r.platform.ChangeFaults(func(faults *platformstub.Faults) { faults.Outage = false })
		})
	case 5:
		r.platform.ChangeFaults(func(faults *platformstub.Faults) { faults.LoseReplies += 5 })
	case 6:
		r.platform.ChangeFaults(func(faults *platformstub.Faults) {
			faults.Delay = time.Duration(r.random.IntN(300)) * time.Millisecond
		})
	case 7:
		loss := workerstub.ReplyLoss{Command: "Start", Count: 3, DropCommand: r.random.IntN(2) == 0}
		r.workers[ident.WorkerID(fmt.Sprintf("worker-%d", r.random.IntN(6)))].AddLoss(loss)
	case 8:
		r.workers[ident.WorkerID(fmt.Sprintf("worker-%d", r.random.IntN(6)))].Restart()
	}
}

// replaceInstance starts a new instance in the zone of a running one, and ends
// the running one.
func (r *faultTest) replaceInstance(_ *testing.T, end func(i int)) {
	i := r.randomLiveInstance()
	r.startInstance(fmt.Sprintf("entry-%d", len(r.nodes)), zoneOf(i))
	end(i)
}

// shutDownInstance drains an instance as SIGTERM does.
func (s *testSystem) shutDownInstance(i int) {
	node := s.nodes[i]
	s.nodes[i] = nil
	name := s.names[i]
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		node.Shutdown(ctx)
		s.setListedAfterDelay(name, false)
		s.network.Listen(name, nil)
	}()
}

// startsOf returns the starts of the request with a body, in no particular
// order.
func (s *testSystem) startsOf(body string) []workerstub.Event {
	var starts []workerstub.Event
	for _, stub := range s.workers {
		for _, event := range stub.History() {
			if event.State == work.TaskRunning && event.Label == body {
				starts = append(starts, event)
			}
		}
	}
	return starts
}

// checkRecovery checks that each instance serves again once the faults have
// ended. A worker may still lose replies because of an earlier fault, so a
// failed call is repeated.
func (r *faultTest) checkRecovery(t *testing.T) {
	const maxTries = 30
	for i, node := range r.nodes {
		serves := node == nil
		for try := 0; try < maxTries && !serves; try++ {
			id := ident.RequestID(fmt.Sprintf("after-%d-%d", i, try))
			serves = r.sendThrough(i, work.Request{ID: id, Service: "permit-check"}).Outcome == fault.Ran
		}
		assert.Check(t, serves, "%s does not serve after the faults have ended", r.names[i])
	}
}

func (r *faultTest) checkAllRequests(t *testing.T) {
	outcomes := map[fault.Outcome]int{}
	for _, sent := range r.requests {
		r.checkRequest(t, sent, outcomes)
	}
	for id, stub := range r.workers {
		assert.Check(t, !stub.CapacityExceeded(), "%s held more tasks than its capacity allows", id)
	}
	t.Logf("outcomes: ran %d, not run %d, unknown %d", outcomes[fault.Ran], outcomes[fault.NotRun], outcomes[fault.Unknown])
	assert.Check(t, outcomes[fault.Ran] > 0)
}

// checkRequest checks the answers to one request. A token may be used again
// after NotRun, and a delayed NotRun answer to one attempt may arrive after
// another attempt has run. So NotRun means that this attempt started nothing,
// and that nothing had run when the attempt was sent.
func (r *faultTest) checkRequest(t *testing.T, sent *sentRequest, outcomes map[fault.Outcome]int) {
	starts := r.startsOf(sent.body)
	onlyNotRun := true
	for _, answer := range sent.answers {
		outcomes[answer.Outcome]++
		switch answer.Outcome {
		case fault.Ran:
			assert.Check(t, len(starts) > 0, "%s was answered as ran, but no worker started it", sent.body)
			assert.Check(t, answer.Failure != nil || string(answer.Body) == sent.body, "%s got the answer %q", sent.body, answer.Body)
		case fault.NotRun:
			r.checkNotRun(t, answer, starts)
		}
		onlyNotRun = onlyNotRun && answer.Outcome == fault.NotRun
	}
	assert.Check(t, !sent.withToken || len(starts) <= 1, "%s has a token but ran %d times", sent.body, len(starts))
	assert.Check(t, !onlyNotRun || len(starts) == 0, "%s ran although every answer to it was NotRun", sent.body)
}

func (r *faultTest) checkNotRun(t *testing.T, answer timedAnswer, starts []workerstub.Event) {
	for _, start := range starts {
		requestID, _, _ := strings.Cut(string(start.Task), "/")
		assert.Check(t, requestID != string(answer.Request), "%s ran although it was answered NotRun: %v", requestID, answer.Failure)
		assert.Check(t, !start.At.Before(answer.sentAt), "%s had run before %s was sent, which was answered NotRun: %v", requestID, answer.Request, answer.Failure)
	}
}
