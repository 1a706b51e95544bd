package main

import (
	"context"
	"net"
	"net/http"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// sampleTime is the duration of one measurement of traffic.
const sampleTime = 5 * time.Second

// traffic counts the bytes and connections that servers receive and send.
type traffic struct {
	received atomic.Int64
	sent     atomic.Int64
	opened   atomic.Int64
}

// counters is a snapshot of the counts of a traffic.
type counters struct {
	Received int64
	Sent     int64
	Opened   int64
}

func (t *traffic) counters() counters {
	return counters{Received: t.received.Load(), Sent: t.sent.Load(), Opened: t.opened.Load()}
}

// rates are costs per second of wall time.
type rates struct {
	// toServer and toClient are in bytes per second.
	toServer float64
	toClient float64
	// opened is the number of connections opened per second.
	opened float64
	// cpu is the processor time of this process, in seconds per second.
	cpu float64
}

// dividedBy returns the rates divided by a number of units.
func (r rates) dividedBy(units int) rates {
	n := float64(units)
	return rates{toServer: r.toServer / n, toClient: r.toClient / n, opened: r.opened / n, cpu: r.cpu / n}
}

func (r rates) totalBytes() float64 { return r.toServer + r.toClient }

// measureRates returns by how much the counters and the processor time grow per
// second during the given time.
func measureRates(sample func() counters, duration time.Duration) rates {
	before, cpu, start := sample(), cpuTime(), time.Now()
	time.Sleep(duration)
	after, usedCPU, seconds := sample(), cpuTime()-cpu, time.Since(start).Seconds()
	return rates{
		toServer: float64(after.Received-before.Received) / seconds,
		toClient: float64(after.Sent-before.Sent) / seconds,
		opened:   float64(after.Opened-before.Opened) / seconds,
		cpu:      usedCPU.Seconds() / seconds,
	}
}

// countingListener counts the bytes that its connections carry above TCP.
type countingListener struct {
	net.Listener
	traffic *traffic
}

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.traffic.opened.Add(1)
	return countingConn{conn, l.traffic}, nil
}

type countingConn struct {
	net.Conn
	traffic *traffic
}

// Read implements net.Conn.
func (c countingConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.traffic.received.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.traffic.sent.Add(int64(n))
	return n, err
}

// serve runs a handler on a loopback port until ctx is done and returns its
// address.
func serve(ctx context.Context, handler http.Handler, counted *traffic) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(countingListener{listener, counted}) }()
	context.AfterFunc(ctx, func() { _ = server.Close() })
	return listener.Addr().String(), nil
}

// cpuTime returns the user and system time that the process has used so far.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// peakResident returns the peak resident set size of the process in bytes.
func peakResident() int64 {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}
	return usage.Maxrss * 1024
}

// liveBytes returns the bytes of live heap and of stacks in use.
func liveBytes() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc + stats.StackInuse)
}

// heapSamples is the number of values over which heapBytesOf takes the mean,
// which makes other changes of the heap negligible.
const heapSamples = 32

// heapBytesOf returns the live bytes of one value that build returns.
func heapBytesOf(build func() any) int64 {
	var kept [heapSamples]any
	before := liveBytes()
	for i := range kept {
		kept[i] = build()
	}
	after := liveBytes()
	runtime.KeepAlive(&kept)
	return (after - before) / heapSamples
}

// cost is the time and the allocated bytes of one operation.
type cost struct {
	duration  time.Duration
	allocated int64
}

// benchmark returns the cost of one call of operation. The calls run on one
// thread, so apart from the garbage collector the elapsed time is processor
// time.
func benchmark(operation func()) cost {
	result := testing.Benchmark(func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			operation()
		}
	})
	return cost{duration: time.Duration(result.NsPerOp()), allocated: result.AllocedBytesPerOp()}
}
