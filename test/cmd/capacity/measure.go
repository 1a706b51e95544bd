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

// window is the length of one measurement of traffic.
const window = 5 * time.Second

// traffic counts the bytes and connections that servers see.
type traffic struct {
	received atomic.Int64
	sent     atomic.Int64
	opened   atomic.Int64
}

// counters are the counts of a traffic at one time.
type counters struct {
	Received int64
	Sent     int64
	Opened   int64
}

func (t *traffic) counters() counters {
	return counters{Received: t.received.Load(), Sent: t.sent.Load(), Opened: t.opened.Load()}
}

// rates are per second of wall time.
type rates struct {
	// toServer and toClient are in bytes.
	toServer float64
	toClient float64
	// opened is in connections.
	opened float64
	// cpu is in seconds of this process.
	cpu float64
}

// per divides the rates among a number of units.
func (r rates) per(units int) rates {
	n := float64(units)
	return rates{toServer: r.toServer / n, toClient: r.toClient / n, opened: r.opened / n, cpu: r.cpu / n}
}

func (r rates) bytes() float64 { return r.toServer + r.toClient }

// during returns what a set of counters grew by in a time.
func during(sample func() counters, length time.Duration) rates {
	before, cpu, start := sample(), cpuTime(), time.Now()
	time.Sleep(length)
	after, used, seconds := sample(), cpuTime()-cpu, time.Since(start).Seconds()
	return rates{
		toServer: float64(after.Received-before.Received) / seconds,
		toClient: float64(after.Sent-before.Sent) / seconds,
		opened:   float64(after.Opened-before.Opened) / seconds,
		cpu:      used.Seconds() / seconds,
	}
}

// countingListener counts what its connections carry above TCP.
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

// serve runs a handler on a loopback port until ctx ends and returns its address.
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

// cpuTime returns the user and system time of the process so far.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// peakResident returns the largest resident size of the process in bytes.
func peakResident() int64 {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}
	return usage.Maxrss * 1024
}

// live returns the bytes of live heap and of stacks in use.
func live() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc + stats.StackInuse)
}

// copies is over how many values heapOf takes the mean, which makes other
// changes of the heap negligible.
const copies = 32

// heapOf returns the live bytes of one of what build returns.
func heapOf(build func() any) int64 {
	var kept [copies]any
	before := live()
	for i := range kept {
		kept[i] = build()
	}
	after := live()
	runtime.KeepAlive(&kept)
	return (after - before) / copies
}

// cost is what one operation takes.
type cost struct {
	time      time.Duration
	allocated int64
}

// bench returns the cost of one call of operation. One thread runs it, so the
// elapsed time is processor time but for the garbage collector's.
func bench(operation func()) cost {
	result := testing.Benchmark(func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			operation()
		}
	})
	return cost{time: time.Duration(result.NsPerOp()), allocated: result.AllocedBytesPerOp()}
}
