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

const remoteRegion ident.RegionName = "olympic"

// regionBoundary tracks the connections between two regions, and cuts them
// while it is closed.
type regionBoundary struct {
	mu          sync.Mutex
	closed      bool
	connections []peer.Conn
}

// boundaryDialer dials from one region. It fails to dial another region while
// the boundary is closed.
type boundaryDialer struct {
	peer.Dialer
	boundary   *regionBoundary
	fromRegion ident.RegionName
	// regionOfAddress holds the region of each address.
	regionOfAddress map[string]ident.RegionName
}

func (d boundaryDialer) Dial(ctx context.Context, address string) (peer.Conn, error) {
	if d.regionOfAddress[address] == d.fromRegion {
		return d.Dialer.Dial(ctx, address)
	}
	d.boundary.mu.Lock()
	defer d.boundary.mu.Unlock()
	if d.boundary.closed {
		return nil, fault.New(fault.PeerUnreachable, "the boundary to the region of %s is closed", address)
	}
	conn, err := d.Dialer.Dial(ctx, address)
	if err == nil {
		d.boundary.connections = append(d.boundary.connections, conn)
	}
	return conn, err
}

func (b *regionBoundary) setClosed(closed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = closed
	for _, conn := range b.connections {
		conn.Close()
	}
	b.connections = nil
}

// addRemoteRegion adds two workers and two instances in another region, and
// returns the names of the instances.
func (s *testSystem) addRemoteRegion(boundary *regionBoundary) (instanceNames []string) {
	regionOfAddress := map[string]ident.RegionName{}
	for _, name := range s.names {
		regionOfAddress[name] = "cascades"
	}
	capacity := resource.Vector{CPU: 32000, Memory: 125000, Slots: 8, Connections: 64}
	for i := range 2 {
		id := fmt.Sprintf("far-worker-%d", i)
		stub := workerstub.New()
		stub.ChangeSettings(func(settings *workerstub.Settings) {
			settings.Capacity = capacity
			settings.TaskDuration = 2 * time.Minute
		})
		s.workers[ident.WorkerID(id)] = stub
		s.mu.Lock()
		s.listed = append(s.listed, platform.ListedInstance{ID: id, Address: id, Kind: platform.KindWorker,
			Zone: "olympic-a", Region: remoteRegion, State: platform.StateLive, Capacity: capacity})
		s.mu.Unlock()
		instanceNames = append(instanceNames, fmt.Sprintf("far-entry-%d", i))
		regionOfAddress[instanceNames[i]] = remoteRegion
	}
	for _, name := range instanceNames {
		s.startInstanceAt(name, "olympic-a", remoteRegion, boundaryDialer{s.network, boundary, remoteRegion, regionOfAddress})
	}
	return instanceNames
}

// While a region is cut off from the log and from the other region for a
// minute, its running tasks must go on. If they stopped, they would run again
// from an old checkpoint.
func TestRunningTasksContinueWhileTheirRegionIsCutOff(t *testing.T) {
	runSystem(t, 3, func(t *testing.T, s *testSystem) {
		var boundary regionBoundary
		remoteInstances := s.addRemoteRegion(&boundary)
		time.Sleep(20 * time.Second)
		var ids []ident.JobID
		for i := range 64 { // More than the workers of the first region can hold.
			status, err := s.nodes[3+i%2].FrontEnd().Submit(t.Context(), work.Job{
				ID: ident.JobID(s.newUUID()), Caller: "ranger", Service: "quota-rebuild", Body: fmt.Appendf(nil, "far-%d", i)})
			assert.NilError(t, err)
			ids = append(ids, status.ID)
		}
		time.Sleep(10 * time.Second)
		running := s.tasksInRemoteRegion()
		assert.Assert(t, len(running) > 0, "no task runs in the remote region")
		for _, name := range remoteInstances {
			s.platform.SetDisconnected(name, true)
		}
		boundary.setClosed(true)
		time.Sleep(time.Minute)
		stillRunning := s.tasksInRemoteRegion()
		for task := range running {
			assert.Assert(t, stillRunning[task], "%s stopped while its region was cut off", task)
		}
		for _, name := range remoteInstances {
			s.platform.SetDisconnected(name, false)
		}
		boundary.setClosed(false)
		time.Sleep(3 * time.Minute)
		for i, id := range ids {
			status, err := s.nodes[0].FrontEnd().JobStatus(t.Context(), id)
			assert.NilError(t, err)
			assert.Equal(t, status.State, work.JobSucceeded, "%s: %v %s", id, status.Reason, status.Detail)
			assert.Equal(t, s.overlappingStarts(fmt.Sprintf("far-%d", i)), 0)
		}
	})
}

// tasksInRemoteRegion returns the tasks that run on the workers of the remote
// region.
func (s *testSystem) tasksInRemoteRegion() map[ident.TaskID]bool {
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
