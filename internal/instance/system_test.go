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

// systemSeed makes the faults and the random numbers of a system the same on
// each run.
const systemSeed = 20261204

// listLag is how late the list shows that an instance came or went.
const listLag = 5 * time.Second

// settleTime is longer than a start or a forward is asked about, and than a
// takeover takes.
const settleTime = time.Minute

const systemRules = `team permits weight 8 reserve 4cpu 8GB # ranger desk: checks must not wait
team rebuilds weight 2 # ranger desk: rebuilds fill what is left
service permit-check team permits class urgent cpu 250m memory 128MB idempotent # ranger desk: lookups only
service issue-permit team permits class urgent cpu 250m memory 128MB # ranger desk: must not run twice
service quota-rebuild team rebuilds class batch cpu 4 memory 8GB evict last # ranger desk: losing one turns groups away
`

// system is a set of whole instances over stand-ins, in virtual time.
type system struct {
	t        *testing.T
	platform *platformstub.Platform
	network  *peer.Memory
	workers  map[ident.WorkerID]*workerstub.Worker
	// mu protects listed.
	mu     sync.Mutex
	listed []platform.ListedInstance
	nodes  []*instance.Instance
	names  []string
	random *rand.Rand
}

// runSystem runs test over instances in two zones with three workers each.
func runSystem(t *testing.T, instances int, test func(t *testing.T, s *system)) {
	virtualtime.Test(t, func(t *testing.T) {
		t.Logf("seed %d", systemSeed)
		s := &system{
			t:       t,
			network: peer.NewMemory(systemSeed),
			workers: map[ident.WorkerID]*workerstub.Worker{},
			random:  rand.New(rand.NewPCG(systemSeed, 0)),
		}
		for i := range 6 {
			s.addWorker(fmt.Sprintf("worker-%d", i), zoneOf(i))
		}
		s.platform = platformstub.New(s.listed)
		for i := range instances {
			s.start(fmt.Sprintf("entry-%d", i), zoneOf(i))
		}
		time.Sleep(3 * time.Second)
		s.apply(0, 0, systemRules)
		time.Sleep(10 * time.Second)
		test(t, s)
		time.Sleep(settleTime)
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

func (s *system) addWorker(id string, zone ident.ZoneName) {
	capacity := resource.Vector{CPU: 32000, Memory: 125000, Slots: 8, Connections: 64}
	stub := workerstub.New()
	stub.Change(func(settings *workerstub.Settings) {
		settings.Capacity = capacity
		settings.ServiceTime = 20 * time.Millisecond
		settings.Duration = 30 * time.Second
	})
	s.workers[ident.WorkerID(id)] = stub
	s.listed = append(s.listed, platform.ListedInstance{
		ID: id, Address: id, Kind: platform.KindWorker, Zone: zone, Region: "cascades",
		State: platform.StateLive, Capacity: capacity,
	})
}

// instances is the list as an instance reads it.
type instances struct{ system *system }

func (l instances) Instances(context.Context) ([]platform.ListedInstance, error) {
	l.system.mu.Lock()
	defer l.system.mu.Unlock()
	return slices.Clone(l.system.listed), nil
}

// list adds an entry instance to the list, or removes it, after the list's lag.
func (s *system) list(name string, live bool) {
	time.AfterFunc(listLag, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.listed = slices.DeleteFunc(s.listed, func(l platform.ListedInstance) bool { return l.ID == name })
		if live {
			s.listed = append(s.listed, platform.ListedInstance{ID: name, Kind: platform.KindEntry, State: platform.StateLive})
		}
	})
}

// start runs an instance and returns its index.
func (s *system) start(name string, zone ident.ZoneName) int {
	return s.startAt(name, zone, "cascades", s.network)
}

// startAt is start in a region, with the links that dialer opens.
func (s *system) startAt(name string, zone ident.ZoneName, region ident.RegionName, dialer peer.Dialer) int {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(s.random.Uint64(), 1))
	node := instance.New(instance.Options{
		Name:        ident.InstanceName(name),
		Place:       workers.Place{Zone: zone, Region: region},
		PeerAddress: name,
		RegionCut:   instance.RegionCutRefuse,
		Shards:      4,
		Appends:     200,
		Retention:   time.Hour,
		Clock:       clock.System{},
		Log:         s.platform.Client(name),
		List:        instances{s},
		Dialer:      dialer,
		Dial:        func(w workers.Listed) worker.API { return s.workers[w.ID] },
		Nonce:       func() uint64 { mu.Lock(); defer mu.Unlock(); return random.Uint64() },
		Random:      func() float64 { mu.Lock(); defer mu.Unlock(); return random.Float64() },
	})
	s.network.Listen(name, node.AcceptPeer)
	node.Start()
	s.list(name, true)
	s.nodes = append(s.nodes, node)
	s.names = append(s.names, name)
	return len(s.nodes) - 1
}

// kill ends an instance without a word to the others.
func (s *system) kill(i int) {
	s.network.Listen(s.names[i], nil)
	s.list(s.names[i], false)
	s.nodes[i].Stop()
	s.nodes[i] = nil
}

// apply changes the rules through one instance and returns the new version.
func (s *system) apply(through int, base ident.Offset, rules string) ident.Offset {
	s.t.Helper()
	proposal := operator.Proposal{ID: ident.RecordID(fmt.Sprint("change-", s.random.Uint64())), Base: base, Rules: rules, Author: "ann"}
	entry, err := s.nodes[through].Propose(s.t.Context(), proposal)
	assert.NilError(s.t, err)
	assert.Equal(s.t, entry.Verdict, config.Accepted, "%v", entry)
	return entry.Offset
}

// call sends one request through an instance.
func (s *system) call(through int, request work.Request) work.Answer {
	request.Caller = "hiker"
	request.Remaining = 2 * time.Second
	return s.nodes[through].Front().Serve(s.t.Context(), request)
}

// starts returns how often a request with a body was started.
func (s *system) starts(body string) int { return len(s.startsOf(body)) }

// Guards against a break anywhere on the path of an urgent request, from the
// front over placement, forward, ledger and start lease to the worker and back.
func TestRequestsAreServedThroughEachInstance(t *testing.T) {
	runSystem(t, 3, func(t *testing.T, s *system) {
		for i := range 60 {
			body := fmt.Sprintf("check-%d", i)
			got := s.call(i%3, work.Request{ID: ident.RequestID(body), Service: "permit-check", Body: []byte(body)})
			assert.Equal(t, got.Outcome, fault.Ran, "%v", got.Failure)
			assert.Equal(t, string(got.Body), body)
		}
	})
}

// Guards against a token that runs twice when it is repeated through other
// instances, and against a loss of the service when an instance is killed.
func TestTokensRunOnceWhileAnInstanceIsKilled(t *testing.T) {
	runSystem(t, 4, func(t *testing.T, s *system) {
		outcomes := map[fault.Outcome]int{}
		for i := range 400 {
			if i == 100 {
				s.kill(3)
			}
			body := fmt.Sprintf("issue-%d", i)
			tokens := s.nodes[i%3].Front().Issue(1)
			if len(tokens) == 0 {
				continue
			}
			for repeat := range 2 {
				id := ident.RequestID(fmt.Sprintf("%s-%d", body, repeat))
				got := s.call((i+repeat)%3, work.Request{ID: id, Service: "issue-permit", Token: tokens[0], Body: []byte(body)})
				outcomes[got.Outcome]++
				if got.Outcome == fault.NotRun {
					assert.Equal(t, s.starts(body), 0, "%v", got.Failure)
				}
			}
			assert.Assert(t, s.starts(body) <= 1, "%s ran %d times", body, s.starts(body))
		}
		t.Logf("ran %d, not run %d, unknown %d", outcomes[fault.Ran], outcomes[fault.NotRun], outcomes[fault.Unknown])
		assert.Assert(t, outcomes[fault.Ran] > 600)
	})
}

// Guards against a change that is not in force on every instance within 5 s, or
// that reverts, also on an instance that does not reach the log.
func TestConfigurationIsInForceEverywhereWithinSeconds(t *testing.T) {
	runSystem(t, 4, func(t *testing.T, s *system) {
		first := s.nodes[0].Configuration().Version
		s.platform.Cut("entry-3", true)
		second := s.apply(0, first, systemRules+"drain backend worker-0 # ranger desk: disk swap\n")
		time.Sleep(5 * time.Second)
		for i, node := range s.nodes {
			assert.Equal(t, node.Configuration().Version, second, "instance %d", i)
		}
		s.platform.Cut("entry-3", false)
		s.start("entry-4", "cascades-b")
		for range 20 {
			time.Sleep(time.Second)
			assert.Equal(t, s.nodes[3].Configuration().Version, second)
		}
		assert.Equal(t, s.nodes[4].Configuration().Version, second)
	})
}

// Guards against an outage of the log that stops urgent requests or lets a
// change of the rules through, and against an instance that stays out after it.
func TestUrgentRequestsGoOnWhileTheLogIsDown(t *testing.T) {
	runSystem(t, 3, func(t *testing.T, s *system) {
		s.platform.Set(func(control *platformstub.Control) { control.Outage = true })
		for i := range 120 {
			time.Sleep(time.Second)
			body := fmt.Sprintf("check-%d", i)
			got := s.call(i%3, work.Request{ID: ident.RequestID(body), Service: "permit-check", Body: []byte(body)})
			assert.Equal(t, got.Outcome, fault.Ran, "second %d: %v", i, got.Failure)
		}
		s.platform.Set(func(control *platformstub.Control) { control.Outage = false })
		time.Sleep(30 * time.Second)
		for i := range 3 {
			assert.Assert(t, s.nodes[i].Status().LeaseHeld)
		}
	})
}

// newID returns a UUID of version 7 for a job or key, at the time of the bubble.
func (s *system) newID() string {
	var id uuid.UUID
	now := uint64(time.Now().UnixMilli())
	binary.BigEndian.PutUint64(id[:8], now<<16|s.random.Uint64N(1<<12)|7<<12)
	binary.BigEndian.PutUint64(id[8:], s.random.Uint64()>>2|1<<63)
	return id.String()
}

// Guards against a keyed request that runs twice when it is repeated through
// every instance, and against a repeat that gets another answer.
func TestKeysRunOnceThroughEachInstance(t *testing.T) {
	runSystem(t, 3, func(t *testing.T, s *system) {
		for i := range 20 {
			body := fmt.Sprintf("issue-%d", i)
			key := s.newID()
			for through := range 3 {
				id := ident.RequestID(fmt.Sprintf("%s-%d", body, through))
				got := s.call(through, work.Request{ID: id, Service: "issue-permit", Key: key, Body: []byte(body)})
				assert.Equal(t, got.Outcome, fault.Ran, "%v", got.Failure)
				assert.Equal(t, string(got.Body), body)
			}
			assert.Equal(t, s.starts(body), 1)
		}
	})
}

// Guards against an accepted job that is lost, or runs in two places, when the
// home of its shard and the owner of its worker are killed.
func TestJobsEndOnceAlthoughInstancesAreKilled(t *testing.T) {
	runSystem(t, 4, func(t *testing.T, s *system) {
		var ids []ident.JobID
		for i := range 30 {
			status, err := s.nodes[i%3].Front().Submit(t.Context(), work.Job{
				ID: ident.JobID(s.newID()), Caller: "ranger", Service: "quota-rebuild", Body: fmt.Appendf(nil, "rebuild-%d", i)})
			assert.NilError(t, err)
			ids = append(ids, status.ID)
		}
		time.Sleep(10 * time.Second)
		s.kill(3)
		time.Sleep(15 * time.Second)
		s.kill(2)
		time.Sleep(5 * time.Minute)
		for i, id := range ids {
			status, err := s.nodes[0].Front().Job(t.Context(), id)
			assert.NilError(t, err)
			assert.Equal(t, status.State, work.JobSucceeded, "%s: %v %s", id, status.Reason, status.Detail)
			assert.Assert(t, s.overlaps(fmt.Sprintf("rebuild-%d", i)) == 0)
		}
		for id, stub := range s.workers {
			assert.Assert(t, !stub.Exceeded(), "%s held more than its capacity", id)
		}
	})
}

// Guards against the end of a job that is noticed a minute late, because the
// owner that began its attempt was killed and the next one reports nothing.
func TestEndOfAdoptedJobIsReported(t *testing.T) {
	runSystem(t, 4, func(t *testing.T, s *system) {
		var ids []ident.JobID
		for range 12 {
			status, err := s.nodes[0].Front().Submit(t.Context(), work.Job{
				ID: ident.JobID(s.newID()), Caller: "ranger", Service: "quota-rebuild"})
			assert.NilError(t, err)
			ids = append(ids, status.ID)
		}
		time.Sleep(5 * time.Second)
		for _, i := range []int{1, 2} {
			s.kill(i)
		}
		// The jobs end 30 s after their start.
		time.Sleep(35 * time.Second)
		for _, id := range ids {
			status, err := s.nodes[0].Front().Job(t.Context(), id)
			assert.NilError(t, err)
			assert.Equal(t, status.State, work.JobSucceeded, "%s", id)
			assert.Equal(t, status.Attempt, ident.Attempt(1))
		}
	})
}

// overlaps returns how many starts of a body began while another start of it
// had not ended.
func (s *system) overlaps(body string) int {
	type span struct{ from, to time.Time }
	var spans []span
	for _, stub := range s.workers {
		history := stub.History()
		for i, event := range history {
			if event.State != work.TaskRunning || event.Label != body {
				continue
			}
			to := time.Now().Add(time.Hour)
			for _, later := range history[i+1:] {
				if later.Task == event.Task {
					to = later.At
					break
				}
			}
			spans = append(spans, span{event.At, to})
		}
	}
	found := 0
	for i, a := range spans {
		for j, b := range spans {
			if i != j && !b.from.Before(a.from) && b.from.Before(a.to) {
				found++
			}
		}
	}
	return found
}
