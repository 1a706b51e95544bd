package instance_test

import (
	"context"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"poplarvalve/internal/connection/operator"
	"poplarvalve/internal/connection/peer"
	"poplarvalve/internal/connection/platform"
	"poplarvalve/internal/connection/worker"
	"poplarvalve/internal/instance"
	"poplarvalve/internal/process/clock"
	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/resource"
	"poplarvalve/internal/process/work"
	"poplarvalve/internal/version/config"
	"poplarvalve/internal/version/workers"
	"poplarvalve/test/platformstub"
	"poplarvalve/test/virtualtime"
	"poplarvalve/test/workerstub"
)

// systemSeed makes the faults and the random numbers of each run the same.
const systemSeed = 20261204

// listUpdateDelay is the delay after which the list shows that an instance came
// or went.
const listUpdateDelay = 5 * time.Second

// recoveryTime is longer than a takeover takes, and longer than the period in
// which the outcome of a start or a forwarded request is queried.
const recoveryTime = time.Minute

const systemRules = `team permits weight 8 reserve 4cpu 8GB # ranger desk: checks must not wait
team rebuilds weight 2 # ranger desk: rebuilds fill what is left
service permit-check team permits class urgent cpu 250m memory 128MB idempotent # ranger desk: lookups only
service issue-permit team permits class urgent cpu 250m memory 128MB # ranger desk: must not run twice
service quota-rebuild team rebuilds class batch cpu 4 memory 8GB evict last # ranger desk: losing one turns groups away
`

// testSystem is a set of complete instances that run in virtual time, with
// stubs for the workers and the platform and an in-memory network.
type testSystem struct {
	t        *testing.T
	platform *platformstub.Platform
	network  *peer.MemoryNetwork
	workers  map[ident.WorkerID]*workerstub.Worker
	// mu protects listed.
	mu     sync.Mutex
	listed []platform.ListedInstance
	nodes  []*instance.Instance
	names  []string
	random *rand.Rand
}

// runSystem runs test with the given number of instances, in two zones with
// three workers each.
func runSystem(t *testing.T, instances int, test func(t *testing.T, s *testSystem)) {
	virtualtime.Test(t, func(t *testing.T) {
		t.Logf("seed %d", systemSeed)
		s := &testSystem{
			t:       t,
			network: peer.NewMemoryNetwork(systemSeed),
			workers: map[ident.WorkerID]*workerstub.Worker{},
			random:  rand.New(rand.NewPCG(systemSeed, 0)),
		}
		for i := range 6 {
			s.addWorker(fmt.Sprintf("worker-%d", i), zoneOf(i))
		}
		s.platform = platformstub.New(s.listed)
		for i := range instances {
			s.startInstance(fmt.Sprintf("entry-%d", i), zoneOf(i))
		}
		time.Sleep(3 * time.Second)
		s.applyRules(0, 0, systemRules)
		time.Sleep(10 * time.Second)
		test(t, s)
		time.Sleep(recoveryTime)
		for _, node := range s.nodes {
			if node != nil {
				node.Stop()
			}
		}
	})
}

func zoneOf(i int) ident.ZoneName {
	return []ident.ZoneName{"cascades-a", "cascades-b"}[i%2]
}

func (s *testSystem) addWorker(id string, zone ident.ZoneName) {
	capacity := resource.Vector{CPU: 32000, Memory: 125000, Slots: 8, Connections: 64}
	stub := workerstub.New()
	stub.ChangeSettings(func(settings *workerstub.Settings) {
		settings.Capacity = capacity
		settings.UrgentTaskDuration = 20 * time.Millisecond
		settings.TaskDuration = 30 * time.Second
	})
	s.workers[ident.WorkerID(id)] = stub
	s.listed = append(s.listed, platform.ListedInstance{
		ID: id, Address: id, Kind: platform.KindWorker, Zone: zone, Region: "cascades",
		State: platform.StateLive, Capacity: capacity,
	})
}

// listReader is the instance list as an instance reads it.
type listReader struct{ system *testSystem }

func (l listReader) ListInstances(context.Context) ([]platform.ListedInstance, error) {
	l.system.mu.Lock()
	defer l.system.mu.Unlock()
	return slices.Clone(l.system.listed), nil
}

// setListedAfterDelay adds an entry instance to the list, or removes it, after
// listUpdateDelay.
func (s *testSystem) setListedAfterDelay(name string, live bool) {
	time.AfterFunc(listUpdateDelay, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.listed = slices.DeleteFunc(s.listed, func(l platform.ListedInstance) bool { return l.ID == name })
		if live {
			s.listed = append(s.listed, platform.ListedInstance{ID: name, Kind: platform.KindEntry, State: platform.StateLive})
		}
	})
}

// startInstance starts an instance and returns its index.
func (s *testSystem) startInstance(name string, zone ident.ZoneName) int {
	return s.startInstanceAt(name, zone, "cascades", s.network)
}

// startInstanceAt starts an instance in a zone and a region. Its links to peers
// are opened by dialer. It returns the index of the instance.
func (s *testSystem) startInstanceAt(name string, zone ident.ZoneName, region ident.RegionName, dialer peer.Dialer) int {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(s.random.Uint64(), 1))
	node := instance.New(instance.Options{
		Name:             ident.InstanceName(name),
		Origin:           workers.Origin{Zone: zone, Region: region},
		PeerAddress:      name,
		RegionCutPolicy:  instance.RefuseWhenCut,
		Shards:           4,
		AppendsPerSecond: 200,
		Retention:        time.Hour,
		Clock:            clock.System{},
		Log:              s.platform.Client(name),
		InstanceList:     listReader{s},
		Dialer:           dialer,
		DialWorker:       func(w workers.ListedWorker) worker.WorkerClient { return s.workers[w.ID] },
		Nonce:            func() uint64 { mu.Lock(); defer mu.Unlock(); return random.Uint64() },
		Random:           func() float64 { mu.Lock(); defer mu.Unlock(); return random.Float64() },
	})
	s.network.Listen(name, node.AcceptPeer)
	node.Start()
	s.setListedAfterDelay(name, true)
	s.nodes = append(s.nodes, node)
	s.names = append(s.names, name)
	return len(s.nodes) - 1
}

// killInstance ends an instance without notice to the others.
func (s *testSystem) killInstance(i int) {
	s.network.Listen(s.names[i], nil)
	s.setListedAfterDelay(s.names[i], false)
	s.nodes[i].Stop()
	s.nodes[i] = nil
}

// applyRules changes the rules through one instance and returns the new
// version.
func (s *testSystem) applyRules(through int, base ident.Offset, rules string) ident.Offset {
	s.t.Helper()
	proposal := operator.Proposal{ID: ident.RecordID(fmt.Sprint("change-", s.random.Uint64())), Base: base, Rules: rules, Author: "ann"}
	entry, err := s.nodes[through].Propose(s.t.Context(), proposal)
	assert.NilError(s.t, err)
	assert.Equal(s.t, entry.Verdict, config.Accepted, "%v", entry)
	return entry.Offset
}

// sendThrough sends one request through an instance.
func (s *testSystem) sendThrough(through int, request work.Request) work.Answer {
	request.Caller = "hiker"
	request.Remaining = 2 * time.Second
	return s.nodes[through].FrontEnd().Serve(s.t.Context(), request)
}

// startCount returns how often the request with a body was started.
func (s *testSystem) startCount(body string) int { return len(s.startsOf(body)) }

// Covers the whole path of an urgent request: from the front end through
// placement, forwarding, ledger and start lease to the worker, and back. A
// fault in any of them fails the test.
func TestUrgentRequestsAreServedThroughEveryInstance(t *testing.T) {
	runSystem(t, 3, func(t *testing.T, s *testSystem) {
		for i := range 60 {
			body := fmt.Sprintf("check-%d", i)
			got := s.sendThrough(i%3, work.Request{ID: ident.RequestID(body), Service: "permit-check", Body: []byte(body)})
			assert.Equal(t, got.Outcome, fault.Ran, "%v", got.Failure)
			assert.Equal(t, string(got.Body), body)
		}
	})
}

// A request with a token that is repeated through another instance must run at
// most once, and killing an instance must not interrupt the service.
func TestTokenRunsAtMostOnceWhenAnInstanceIsKilled(t *testing.T) {
	runSystem(t, 4, func(t *testing.T, s *testSystem) {
		outcomes := map[fault.Outcome]int{}
		for i := range 400 {
			if i == 100 {
				s.killInstance(3)
			}
			body := fmt.Sprintf("issue-%d", i)
			tokens := s.nodes[i%3].FrontEnd().IssueTokens(1)
			if len(tokens) == 0 {
				continue
			}
			for repeat := range 2 {
				id := ident.RequestID(fmt.Sprintf("%s-%d", body, repeat))
				got := s.sendThrough((i+repeat)%3, work.Request{ID: id, Service: "issue-permit", Token: tokens[0], Body: []byte(body)})
				outcomes[got.Outcome]++
				if got.Outcome == fault.NotRun {
					assert.Equal(t, s.startCount(body), 0, "%v", got.Failure)
				}
			}
			assert.Assert(t, s.startCount(body) <= 1, "%s has a token but ran %d times", body, s.startCount(body))
		}
		t.Logf("outcomes: ran %d, not run %d, unknown %d", outcomes[fault.Ran], outcomes[fault.NotRun], outcomes[fault.Unknown])
		assert.Assert(t, outcomes[fault.Ran] > 600)
	})
}

// A rules change must be in force on every instance within 5 s and must not
// revert later. This includes an instance that can't reach the log and learns
// of the change from its peers.
func TestRuleChangeIsInForceEverywhereWithinFiveSeconds(t *testing.T) {
	runSystem(t, 4, func(t *testing.T, s *testSystem) {
		first := s.nodes[0].Configuration().Version
		s.platform.SetDisconnected("entry-3", true)
		second := s.applyRules(0, first, systemRules+"drain backend worker-0 # ranger desk: disk swap\n")
		time.Sleep(5 * time.Second)
		for i, node := range s.nodes {
			assert.Equal(t, node.Configuration().Version, second, "instance %d", i)
		}
		s.platform.SetDisconnected("entry-3", false)
		s.startInstance("entry-4", "cascades-b")
		for range 20 {
			time.Sleep(time.Second)
			assert.Equal(t, s.nodes[3].Configuration().Version, second)
		}
		assert.Equal(t, s.nodes[4].Configuration().Version, second)
	})
}

// An outage of the log must not stop urgent requests, and every instance must
// hold its lease again after the outage. No rules change can be accepted during
// the outage either, but this test does not propose one.
func TestUrgentRequestsAreServedDuringLogOutage(t *testing.T) {
	runSystem(t, 3, func(t *testing.T, s *testSystem) {
		s.platform.ChangeFaults(func(faults *platformstub.Faults) { faults.Outage = true })
		for i := range 120 {
			time.Sleep(time.Second)
			body := fmt.Sprintf("check-%d", i)
			got := s.sendThrough(i%3, work.Request{ID: ident.RequestID(body), Service: "permit-check", Body: []byte(body)})
			assert.Equal(t, got.Outcome, fault.Ran, "second %d: %v", i, got.Failure)
		}
		s.platform.ChangeFaults(func(faults *platformstub.Faults) { faults.Outage = false })
		time.Sleep(30 * time.Second)
		for i := range 3 {
			assert.Assert(t, s.nodes[i].Status().LeaseHeld)
		}
	})
}

// newUUID returns a UUID of version 7 for a job or key, with the current
// virtual time.
func (s *testSystem) newUUID() string {
	var id uuid.UUID
	now := uint64(time.Now().UnixMilli())
	binary.BigEndian.PutUint64(id[:8], now<<16|s.random.Uint64N(1<<12)|7<<12)
	binary.BigEndian.PutUint64(id[8:], s.random.Uint64()>>2|1<<63)
	return id.String()
}

// A keyed request that is repeated through every instance must run once, and
// each repeat must get the same answer.
func TestKeyedRequestRunsOnceWhenRepeatedThroughEveryInstance(t *testing.T) {
	runSystem(t, 3, func(t *testing.T, s *testSystem) {
		for i := range 20 {
			body := fmt.Sprintf("issue-%d", i)
			key := s.newUUID()
			for through := range 3 {
				id := ident.RequestID(fmt.Sprintf("%s-%d", body, through))
				got := s.sendThrough(through, work.Request{ID: id, Service: "issue-permit", Key: key, Body: []byte(body)})
				assert.Equal(t, got.Outcome, fault.Ran, "%v", got.Failure)
				assert.Equal(t, string(got.Body), body)
			}
			assert.Equal(t, s.startCount(body), 1)
		}
	})
}

// An accepted job must not be lost or run in two places when the home instance
// of its shard and the owner of its worker are killed.
func TestJobsSucceedOnceWhenInstancesAreKilled(t *testing.T) {
	runSystem(t, 4, func(t *testing.T, s *testSystem) {
		var ids []ident.JobID
		for i := range 30 {
			status, err := s.nodes[i%3].FrontEnd().Submit(t.Context(), work.Job{
				ID: ident.JobID(s.newUUID()), Caller: "ranger", Service: "quota-rebuild", Body: fmt.Appendf(nil, "rebuild-%d", i)})
			assert.NilError(t, err)
			ids = append(ids, status.ID)
		}
		time.Sleep(10 * time.Second)
		s.killInstance(3)
		time.Sleep(15 * time.Second)
		s.killInstance(2)
		time.Sleep(5 * time.Minute)
		for i, id := range ids {
			status, err := s.nodes[0].FrontEnd().JobStatus(t.Context(), id)
			assert.NilError(t, err)
			assert.Equal(t, status.State, work.JobSucceeded, "%s: %v %s", id, status.Reason, status.Detail)
			assert.Assert(t, s.overlappingStarts(fmt.Sprintf("rebuild-%d", i)) == 0)
		}
		for id, stub := range s.workers {
			assert.Assert(t, !stub.CapacityExceeded(), "%s held more tasks than its capacity allows", id)
		}
	})
}

// When the owner that started a job's attempt is killed, the next owner of the
// worker must report the end of the job. Otherwise the end is noticed a minute
// late.
func TestEndOfJobIsReportedByNextOwnerOfItsWorker(t *testing.T) {
	runSystem(t, 4, func(t *testing.T, s *testSystem) {
		var ids []ident.JobID
		for range 12 {
			status, err := s.nodes[0].FrontEnd().Submit(t.Context(), work.Job{
				ID: ident.JobID(s.newUUID()), Caller: "ranger", Service: "quota-rebuild"})
			assert.NilError(t, err)
			ids = append(ids, status.ID)
		}
		time.Sleep(5 * time.Second)
		for _, i := range []int{1, 2} {
			s.killInstance(i)
		}
		// The jobs end 30 s after their start.
		time.Sleep(35 * time.Second)
		for _, id := range ids {
			status, err := s.nodes[0].FrontEnd().JobStatus(t.Context(), id)
			assert.NilError(t, err)
			assert.Equal(t, status.State, work.JobSucceeded, "%s", id)
			assert.Equal(t, status.Attempt, ident.Attempt(1))
		}
	})
}

// overlappingStarts returns how many starts of a body happened while another
// start of it had not ended.
func (s *testSystem) overlappingStarts(body string) int {
	type span struct{ from, to time.Time }
	var spans []span
	for _, stub := range s.workers {
		history := stub.History()
		for i, event := range history {
			if event.State != work.TaskRunning || event.Label != body {
				continue
			}
			to := time.Now().Add(time.Hour)
			for _, next := range history[i+1:] {
				if next.Task == event.Task {
					to = next.At
					break
				}
			}
			spans = append(spans, span{event.At, to})
		}
	}
	overlapping := 0
	for i, a := range spans {
		for j, b := range spans {
			if i != j && !b.from.Before(a.from) && b.from.Before(a.to) {
				overlapping++
			}
		}
	}
	return overlapping
}
