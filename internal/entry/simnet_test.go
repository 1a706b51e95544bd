package entry

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"poplarvalve/internal/connection/cellcodec"
	"poplarvalve/internal/connection/celllink"
	"poplarvalve/internal/connection/peer"
	"poplarvalve/internal/process/logging"
	"poplarvalve/internal/process/metrics"
	"poplarvalve/internal/process/store"
	"poplarvalve/internal/version/cell"
	"poplarvalve/internal/version/election"
	"poplarvalve/internal/version/evacuation"
	"poplarvalve/internal/version/manifest"
)

const (
	logAddress = "log:1"
	// simRegionBytesPerSecond is the rate of the link between the regions in each
	// direction, 30 Mbit/s.
	simRegionBytesPerSecond = 3_750_000
	// simQuantumBytes is what one transfer sends before the others have their turn.
	simQuantumBytes = 16 << 10
	// simLocalLatency and simRegionLatency are one way.
	simLocalLatency  = time.Millisecond
	simRegionLatency = 30 * time.Millisecond
	// simStallTimeout is how long the client of the log waits for the next part of a
	// response, as that of the platform does.
	simStallTimeout = 800 * time.Millisecond
	simMessageBytes = 60
	// simReadBytes limits the records of one read.
	simReadBytes   = 1 << 20
	simQueueLength = 10_000
)

var simConfiguration = store.Partition{Topic: "config"}

// simNetwork is a network in virtual time. Messages between two addresses arrive in order. A
// message that can't be delivered waits until it can be.
type simNetwork struct {
	mu      sync.Mutex
	changed chan struct{}
	regions map[string]string
	// cut holds the directions in which nothing arrives, and frozen the addresses that
	// neither send nor receive.
	cut    map[[2]string]bool
	frozen map[string]bool
	// delay is added to each message from or to an address.
	delay map[string]time.Duration
	// regionRate is the rate of the link between the regions in bytes a second.
	regionRate int
	// free is when the link between two regions can send the next quantum.
	free map[[2]string]time.Time
	// between counts the bytes between regions, and logReads the bytes of the
	// configuration that each address has read.
	between  int
	logReads map[string]int
	servers  map[string]celllink.Server
	// strip holds the addresses of instances of a version before the sources: what they send
	// and receive about manifests is left out, but for the version.
	strip map[string]bool
}

func newSimNetwork() *simNetwork {
	return &simNetwork{regionRate: simRegionBytesPerSecond, changed: make(chan struct{}), regions: map[string]string{}, cut: map[[2]string]bool{}, frozen: map[string]bool{},
		delay: map[string]time.Duration{}, free: map[[2]string]time.Time{}, logReads: map[string]int{}, servers: map[string]celllink.Server{}}
}

// update changes the state of the network.
func (n *simNetwork) update(change func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change()
	close(n.changed)
	n.changed = make(chan struct{})
}

// separate cuts the link between two sets of addresses in both directions, or in the
// direction from a to b only. heal undoes it.
func (n *simNetwork) separate(a, b []string, oneWay bool) {
	n.update(func() {
		for _, x := range a {
			for _, y := range b {
				n.cut[[2]string{x, y}] = true
				n.cut[[2]string{y, x}] = n.cut[[2]string{y, x}] || !oneWay
			}
		}
	})
}

func (n *simNetwork) heal() {
	n.update(func() {
		clear(n.cut)
		clear(n.frozen)
		clear(n.delay)
	})
}

// passable waits until a message can pass from one address to another.
func (n *simNetwork) passable(ctx context.Context, from, to string) error {
	for {
		n.mu.Lock()
		blocked := n.cut[[2]string{from, to}] || n.frozen[from] || n.frozen[to]
		changed := n.changed
		n.mu.Unlock()
		if !blocked {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// carry carries a number of bytes. progress is called after each quantum.
func (n *simNetwork) carry(ctx context.Context, from, to string, size int, progress func()) error {
	for sent := 0; sent == 0 || sent < size; sent += simQuantumBytes {
		if err := n.passable(ctx, from, to); err != nil {
			return err
		}
		if err := pause(ctx, n.quantum(from, to, min(simQuantumBytes, size-sent))); err != nil {
			return err
		}
		progress()
	}
	n.mu.Lock()
	latency := simLocalLatency
	if n.regions[from] != n.regions[to] {
		latency = simRegionLatency
	}
	latency += n.delay[from] + n.delay[to]
	n.mu.Unlock()
	if err := pause(ctx, latency); err != nil {
		return err
	}
	return n.passable(ctx, from, to)
}

// quantum reserves the link between the regions of two addresses and returns the time until
// the quantum is sent.
func (n *simNetwork) quantum(from, to string, size int) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	link := [2]string{n.regions[from], n.regions[to]}
	if link[0] == link[1] {
		return 0
	}
	n.between += size
	now := time.Now()
	if n.free[link].Before(now) {
		n.free[link] = now
	}
	n.free[link] = n.free[link].Add(time.Duration(size) * time.Second / time.Duration(n.regionRate))
	return n.free[link].Sub(now)
}

func (n *simNetwork) takeBetween() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	taken := n.between
	n.between = 0
	return taken
}

// takeLogReads returns the bytes of the configuration that each address has read from the log
// since the last call.
func (n *simNetwork) takeLogReads() map[string]int {
	n.mu.Lock()
	defer n.mu.Unlock()
	taken := n.logReads
	n.logReads = map[string]int{}
	return taken
}

func pause(ctx context.Context, d time.Duration) error {
	sleep(ctx, d)
	return ctx.Err()
}

// simConn is one end of a connection between two addresses.
type simConn struct {
	network  *simNetwork
	from, to string
	outgoing chan []byte
	incoming chan []byte
	ctx      context.Context
	close    context.CancelFunc
}

// run delivers what one end sends to the other one.
func (c *simConn) run(remote *simConn) {
	for {
		select {
		case data := <-c.outgoing:
			if c.network.carry(c.ctx, c.from, c.to, len(data)+simMessageBytes, func() {}) != nil {
				return
			}
			select {
			case remote.incoming <- data:
			case <-c.ctx.Done():
				return
			}
		case <-c.ctx.Done():
			// The other end learns of it if it can be reached.
			if c.network.carry(remote.ctx, c.from, c.to, simMessageBytes, func() {}) == nil {
				remote.close()
			}
			return
		}
	}
}

func (c *simConn) Send(ctx context.Context, data []byte) error {
	select {
	case c.outgoing <- data:
		return nil
	case <-c.ctx.Done():
		return io.ErrClosedPipe
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c *simConn) Receive(ctx context.Context) ([]byte, error) {
	select {
	case data := <-c.incoming:
		return c.network.stripped(c.from, c.to, data)
	case <-c.ctx.Done():
		return nil, io.EOF
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// stripped leaves out of a message what an instance of an earlier version does not know.
func (n *simNetwork) stripped(a, b string, data []byte) ([]byte, error) {
	n.mu.Lock()
	earlier := n.strip[a] || n.strip[b]
	n.mu.Unlock()
	if !earlier {
		return data, nil
	}
	message, err := cellcodec.DecodeMessage(data)
	if err != nil {
		return nil, err
	}
	if heartbeat := message.Heartbeat; heartbeat != nil {
		heartbeat.ManifestCheck, heartbeat.ManifestPart, heartbeat.ManifestWanted, heartbeat.ManifestSources = nil, nil, nil, nil
	}
	return cellcodec.EncodeMessage(message)
}

func (c *simConn) Close() { c.close() }

// simDialer is a peer.Dialer for the connections from one address.
type simDialer struct {
	network *simNetwork
	address string
}

func (d simDialer) Dial(ctx context.Context, address string) (peer.Conn, error) {
	if err := d.network.carry(ctx, d.address, address, simMessageBytes, func() {}); err != nil {
		return nil, err
	}
	d.network.mu.Lock()
	server := d.network.servers[address]
	d.network.mu.Unlock()
	if err := d.network.carry(ctx, address, d.address, simMessageBytes, func() {}); err != nil {
		return nil, err
	}
	if server == nil {
		return nil, fmt.Errorf("dialing %s: %w", address, syscall.ECONNREFUSED)
	}
	here, there := d.network.connect(d.address, address)
	go celllink.Serve(there, server)
	return here, nil
}

func (n *simNetwork) connect(from, to string) (here, there *simConn) {
	newEnd := func(from, to string) *simConn {
		ctx, cancel := context.WithCancel(context.Background())
		return &simConn{network: n, from: from, to: to, outgoing: make(chan []byte, simQueueLength), incoming: make(chan []byte, simQueueLength), ctx: ctx, close: cancel}
	}
	here, there = newEnd(from, to), newEnd(to, from)
	go here.run(there)
	go there.run(here)
	return here, there
}

// simLog is a log in virtual time.
type simLog struct {
	network *simNetwork
	mu      sync.Mutex
	changed chan struct{}
	down    bool
	parts   map[store.Partition][]store.Record
	epochs  map[store.Partition]int64
}

func newSimLog(n *simNetwork) *simLog {
	return &simLog{network: n, changed: make(chan struct{}), parts: map[store.Partition][]store.Record{}, epochs: map[store.Partition]int64{}}
}

func (l *simLog) add(to store.Partition, records ...store.Record) (offset int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.addLocked(to, records)
}

func (l *simLog) addLocked(to store.Partition, records []store.Record) (offset int64) {
	offset = int64(len(l.parts[to]))
	for i, record := range records {
		record.Offset = offset + int64(i)
		l.parts[to] = append(l.parts[to], record)
	}
	close(l.changed)
	l.changed = make(chan struct{})
	return offset
}

func (l *simLog) setDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// simLogClient is the client of a simLog at an address.
type simLogClient struct {
	log     *simLog
	address string
}

var errSimLogDown = &store.Error{Reason: store.Unavailable, Detail: "down"}

// call carries a request to the log.
func (c simLogClient) call(ctx context.Context, size int) error {
	if err := c.log.network.carry(ctx, c.address, logAddress, size, func() {}); err != nil {
		return &store.Error{Reason: store.Unanswered, Cause: err}
	}
	c.log.mu.Lock()
	defer c.log.mu.Unlock()
	if c.log.down {
		return errSimLogDown
	}
	return nil
}

// answer carries a response.
func (c simLogClient) answer(ctx context.Context, size int, progress func()) error {
	if err := c.log.network.carry(ctx, logAddress, c.address, size, progress); err != nil {
		return &store.Error{Reason: store.Unanswered, Cause: err}
	}
	return nil
}

func (c simLogClient) Append(ctx context.Context, to store.Partition, records []store.Record, when store.Condition) (int64, error) {
	if err := c.call(ctx, simMessageBytes+sizeOf(records)); err != nil {
		return 0, err
	}
	c.log.mu.Lock()
	var refused error
	var offset int64
	switch {
	case when.EndOffset != nil && *when.EndOffset != int64(len(c.log.parts[to])):
		refused = &store.Error{Reason: store.EndMismatch}
	case when.Writer != nil && when.Writer.Epoch < c.log.epochs[to]:
		refused = &store.Error{Reason: store.Fenced}
	default:
		if when.Writer != nil {
			c.log.epochs[to] = when.Writer.Epoch
		}
		offset = c.log.addLocked(to, records)
	}
	c.log.mu.Unlock()
	if err := c.answer(ctx, simMessageBytes, func() {}); err != nil {
		return 0, err
	}
	return offset, refused
}

func (c simLogClient) Read(ctx context.Context, from store.Partition, offset int64, wait time.Duration) (store.Batch, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stalled := time.AfterFunc(wait+simStallTimeout, cancel)
	defer stalled.Stop()
	if err := c.call(ctx, simMessageBytes); err != nil {
		return store.Batch{}, err
	}
	deadline := time.After(wait)
	for {
		c.log.mu.Lock()
		records, changed := c.log.parts[from], c.log.changed
		c.log.mu.Unlock()
		if offset < int64(len(records)) || wait == 0 {
			batch := batchOf(records, offset)
			return batch, c.answerRecords(ctx, from, batch.Records, func() { stalled.Reset(simStallTimeout) })
		}
		select {
		case <-changed:
		case <-deadline:
			wait = 0
		case <-ctx.Done():
			return store.Batch{}, &store.Error{Reason: store.Unanswered, Cause: ctx.Err()}
		}
	}
}

// batchOf returns the records from an offset on, at least one if there are any and at most
// simReadBytes.
func batchOf(records []store.Record, offset int64) store.Batch {
	size, next := 0, offset
	for _, record := range records[offset:] {
		size += sizeOf([]store.Record{record})
		if size > simReadBytes && next > offset {
			break
		}
		next++
	}
	return store.Batch{Records: records[offset:next], NextOffset: next, EndOffset: int64(len(records))}
}

func (c simLogClient) answerRecords(ctx context.Context, from store.Partition, records []store.Record, progress func()) error {
	size := sizeOf(records)
	if err := c.answer(ctx, simMessageBytes+size, progress); err != nil {
		return err
	}
	if from == simConfiguration {
		c.log.network.mu.Lock()
		defer c.log.network.mu.Unlock()
		c.log.network.logReads[c.address] += size
	}
	return nil
}

func (c simLogClient) Newest(ctx context.Context, from store.Partition) ([]store.Record, int64, error) {
	if err := c.call(ctx, simMessageBytes); err != nil {
		return nil, 0, err
	}
	c.log.mu.Lock()
	newest := map[string]store.Record{}
	for _, record := range c.log.parts[from] {
		newest[record.Key] = record
	}
	end := int64(len(c.log.parts[from]))
	c.log.mu.Unlock()
	records := make([]store.Record, 0, len(newest))
	for _, record := range newest {
		records = append(records, record)
	}
	slices.SortFunc(records, func(a, b store.Record) int { return cmp.Compare(a.Offset, b.Offset) })
	return records, end, c.answerRecords(ctx, from, records, func() {})
}

// simDecoder decodes the manifests that simDeployment writes: the name of their only queue is
// random and as long as the manifest.
type simDecoder struct{}

var errNotSimulated = errors.New("the simulation has no workers")

func (simDecoder) Evacuation(store.Record) (*evacuation.Request, error) { return nil, nil }

func (simDecoder) Manifest(record store.Record) (*manifest.Manifest, error) {
	var version int64
	if _, err := fmt.Sscanf(string(record.Value[:20]), "%d", &version); err != nil {
		return nil, err
	}
	return manifest.New(version, []manifest.Queue{{Name: string(record.Value), Host: "h", Prefix: "/"}}), nil
}

func (simDecoder) Worker(store.Record) (cell.WorkerInfo, error) {
	return cell.WorkerInfo{}, errNotSimulated
}

// simDeployment is a deployment of instances in two regions without workers.
type simDeployment struct {
	t         *testing.T
	network   *simNetwork
	log       *simLog
	instances map[string]*Entry
	journals  []*logging.Journal
	version   int64
}

// newSimDeployment starts two instances in each of four availability zones, a and b in the
// region of the log, c and d in the other one, and waits until all are ready. It must be
// called, and stopped, in a bubble of synctest.
func newSimDeployment(t *testing.T) *simDeployment {
	d := &simDeployment{t: t, network: newSimNetwork(), instances: map[string]*Entry{}}
	d.log = newSimLog(d.network)
	d.network.regions[logAddress] = "near"
	d.log.add(store.Partition{Topic: layoutTopic}, store.Record{Key: cellCountKey, Value: []byte("1")})
	d.write(1000)
	for zone, region := range map[string]string{"a": "near", "b": "near", "c": "far", "d": "far"} {
		for number := range 2 {
			d.start(fmt.Sprintf("%s%d:1", zone, number), zone, region)
		}
	}
	time.Sleep(8 * time.Second)
	for address, e := range d.instances {
		if e.manifestVersion() != d.version || !e.Ready() {
			t.Fatalf("%s is not ready", address)
		}
	}
	return d
}

func (d *simDeployment) start(address, zone, region string) {
	counters := metrics.NewEntryMetrics()
	journal := logging.NewJournal(&bytes.Buffer{}, "error", "test", counters.LineDropped)
	d.journals = append(d.journals, journal)
	nonce := uint64(len(d.journals))
	e := New(Options{Self: election.Holder{Name: address, Address: address, Nonce: nonce}, Zone: zone, CPUShare: 1,
		Log: simLogClient{d.log, address}, Configuration: simConfiguration, Registry: store.Partition{Topic: "servers"}, Decoder: simDecoder{},
		LinkDialer: simDialer{d.network, address}, Limits: Limits{MaxLease: 6 * time.Second, EndedJobRetention: time.Minute, RemoteFactor: 2},
		Journal: journal, Metrics: counters})
	d.network.update(func() {
		d.network.regions[address] = region
		d.network.servers[address] = e.leaders
	})
	d.instances[address] = e
	e.Start()
}

// stop stops an instance.
func (d *simDeployment) stop(address string) {
	d.network.update(func() { delete(d.network.servers, address) })
	d.instances[address].Stop()
	delete(d.instances, address)
}

func (d *simDeployment) stopAll() {
	d.network.heal()
	d.log.setDown(false)
	for address := range d.instances {
		d.stop(address)
	}
	for _, journal := range d.journals {
		journal.Close()
	}
	time.Sleep(time.Minute) // Connections to instances that were cut off end.
}

// write writes the next version of the manifest, which does not compress much. It returns the
// bytes of the record.
func (d *simDeployment) write(size int) int {
	d.version++
	content := fmt.Appendf(nil, "%020d", d.version)
	state := uint64(d.version)
	for len(content) < size {
		state = state*6364136223846793005 + 1442695040888963407
		content = append(content, byte('0'+state>>58))
	}
	record := store.Record{Key: "config", Value: content}
	d.log.add(simConfiguration, record)
	return sizeOf([]store.Record{record})
}

// leader returns the address of the leader.
func (d *simDeployment) leader() string {
	for address, e := range d.instances {
		if len(e.leaders.table.Load().ledHere) > 0 {
			return address
		}
	}
	d.t.Fatal("there is no leader")
	return ""
}

// sourceOf returns the source of a zone that has one.
func (d *simDeployment) sourceOf(zone string) string {
	source := d.instances[d.leader()].leaders.table.Load().sources.ByZone[zone]
	if d.instances[source] == nil {
		d.t.Fatalf("zone %s has the source %q", zone, source)
	}
	return source
}

// others returns all addresses but those given, without the log.
func (d *simDeployment) others(except ...string) (addresses []string) {
	for address := range d.instances {
		if !slices.Contains(except, address) {
			addresses = append(addresses, address)
		}
	}
	slices.Sort(addresses)
	return addresses
}

// behind returns the instances among the addresses that have not the newest manifest.
func (d *simDeployment) behind(addresses []string) (behind []string) {
	for _, address := range addresses {
		if e := d.instances[address]; e != nil && e.manifestVersion() < d.version {
			behind = append(behind, address)
		}
	}
	return behind
}
