package instance_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/connection/peer"
	"poplarvalve/internal/connection/platform"
	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/resource"
	"poplarvalve/internal/process/work"
	"poplarvalve/test/workerstub"
)

const farRegion ident.RegionName = "olympic"

// border is where connections between two regions end while it is closed.
type border struct {
	mu     sync.Mutex
	closed bool
	open   []peer.Conn
}

// crossing dials from one region and stops at the border.
type crossing struct {
	peer.Dialer
	border *border
	from   ident.RegionName
	// regions holds the region of each address.
	regions map[string]ident.RegionName
}

func (c crossing) Dial(ctx context.Context, address string) (peer.Conn, error) {
	if c.regions[address] == c.from {
		return c.Dialer.Dial(ctx, address)
	}
	c.border.mu.Lock()
	defer c.border.mu.Unlock()
	if c.border.closed {
		return nil, fault.New(fault.PeerUnreachable, "%s is in another region", address)
	}
	conn, err := c.Dialer.Dial(ctx, address)
	if err == nil {
		c.border.open = append(c.border.open, conn)
	}
	return conn, err
}

func (b *border) set(closed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = closed
	for _, conn := range b.open {
		conn.Close()
	}
	b.open = nil
}

// addFarRegion adds two workers and two instances in another region.
func (s *system) addFarRegion(b *border) (far []string) {
	regions := map[string]ident.RegionName{}
	for _, name := range s.names {
		regions[name] = "cascades"
	}
	capacity := resource.Vector{CPU: 32000, Memory: 125000, Slots: 8, Connections: 64}
	for i := range 2 {
		id := fmt.Sprintf("far-worker-%d", i)
		stub := workerstub.New()
		stub.Change(func(settings *workerstub.Settings) {
			settings.Capacity = capacity
			settings.Duration = 2 * time.Minute
		})
		s.workers[ident.WorkerID(id)] = stub
		s.mu.Lock()
		s.listed = append(s.listed, platform.ListedInstance{ID: id, Address: id, Kind: platform.KindWorker,
			Zone: "olympic-a", Region: farRegion, State: platform.StateLive, Capacity: capacity})
		s.mu.Unlock()
		far = append(far, fmt.Sprintf("far-entry-%d", i))
		regions[far[i]] = farRegion
	}
	for _, name := range far {
		s.startAt(name, "olympic-a", farRegion, crossing{s.network, b, farRegion, regions})
	}
	return far
}

// Guards against running tasks that stop, and run again from an old checkpoint,
// because their region lost the log and the other region for a minute.
func TestRunningTasksOutliveARegionCut(t *testing.T) {
	runSystem(t, 3, func(t *testing.T, s *system) {
		var b border
		far := s.addFarRegion(&b)
		time.Sleep(20 * time.Second)
		var ids []ident.JobID
		for i := range 64 { // More than the workers of the near region hold.
			status, err := s.nodes[3+i%2].Front().Submit(t.Context(), work.Job{
				ID: ident.JobID(s.newID()), Caller: "ranger", Service: "quota-rebuild", Body: fmt.Appendf(nil, "far-%d", i)})
			assert.NilError(t, err)
			ids = append(ids, status.ID)
		}
		time.Sleep(10 * time.Second)
		running := s.farRuns()
		assert.Assert(t, len(running) > 0, "nothing runs in the far region")
		for _, name := range far {
			s.platform.Cut(name, true)
		}
		b.set(true)
		time.Sleep(time.Minute)
		still := s.farRuns()
		for task := range running {
			assert.Assert(t, still[task], "%s stopped during the cut", task)
		}
		for _, name := range far {
			s.platform.Cut(name, false)
		}
		b.set(false)
		time.Sleep(3 * time.Minute)
		for i, id := range ids {
			status, err := s.nodes[0].Front().Job(t.Context(), id)
			assert.NilError(t, err)
			assert.Equal(t, status.State, work.JobSucceeded, "%s: %v %s", id, status.Reason, status.Detail)
			assert.Equal(t, s.overlaps(fmt.Sprintf("far-%d", i)), 0)
		}
	})
}

// farRuns returns the tasks that run on the workers of the far region.
func (s *system) farRuns() map[ident.TaskID]bool {
	running := map[ident.TaskID]bool{}
	for _, id := range []ident.WorkerID{"far-worker-0", "far-worker-1"} {
		for _, event := range s.workers[id].History() {
			if event.State == work.TaskRunning {
				running[event.Task] = true
			} else {
				delete(running, event.Task)
			}
		}
	}
	return running
}
