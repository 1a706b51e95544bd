package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// soakMemoryMB and soakMaxFDs are the limits in the settings of the instances.
	soakMemoryMB = 200
	soakMaxFDs   = 600
	// maxCrowd is the largest number of clients of a crowd.
	maxCrowd = 150
	// crowdBodyBytes is the size of the bodies that the clients of a crowd announce.
	crowdBodyBytes = 250 << 10
	// crowdAddress is the address of the clients of crowds.
	crowdAddress = "127.9.9.9"
	// memoryPeriod is the time between two looks at the memory of the instances.
	memoryPeriod = 200 * time.Millisecond
)

// crowdKind is what the clients of a crowd do. Each returns when it has sent what it has to send; its
// connection stays open until the crowd ends.
type crowdKind struct {
	name string
	port int
	act  func(c net.Conn, number int)
}

// neverRunningJob is a job of the largest number of steps that no worker can run.
var neverRunningJob = fmt.Sprintf(`{"spec":"%s","steps":[%s]}`, strings.Repeat("s", 4000), strings.TrimSuffix(strings.Repeat(
	fmt.Sprintf(`{"count":1,"cpu":1000,"requirements":"nowhere","image":"%s"},`, strings.Repeat("i", 1000)), 64), ","))

var crowdKinds = []crowdKind{
	{"bodies that stop short", 8161, func(c net.Conn, number int) {
		sendAll(c, fmt.Sprintf("POST /j/%016x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", 0xe000_0000+number, crowdBodyBytes),
			strings.Repeat(" ", crowdBodyBytes-1))
	}},
	{"endless chunks", 8161, func(c net.Conn, number int) {
		sendAll(c, fmt.Sprintf("POST /j/%016x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n", 0xe000_0000+number),
			strings.Repeat(fmt.Sprintf("%x\r\n%s\r\n", 1000, strings.Repeat(" ", 1000)), 400))
	}},
	{"headers that stop short", 8161, func(c net.Conn, _ int) { sendAll(c, "GET /j/ HTTP/1.1\r\nHost: h\r\nX: "+strings.Repeat("v", 12<<10)) }},
	{"silent connections", 8161, func(net.Conn, int) {}},
	{"silent links", 8163, func(c net.Conn, _ int) { sendAll(c, "GET /peer HTTP/1.1\r\nHost: h\r\n") }},
	{"jobs that never run", 8161, func(c net.Conn, number int) {
		for k := range 4 {
			path := fmt.Sprintf("/j/%016x", 0xd000_0000+number*16+k)
			sendAll(c, fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", path, len(neverRunningJob), neverRunningJob))
			_ = c.SetReadDeadline(time.Now().Add(time.Second))
			if _, err := c.Read(make([]byte, 1024)); err != nil {
				return
			}
			sendAll(c, fmt.Sprintf("DELETE %s HTTP/1.1\r\nHost: h\r\n\r\n", path))
			if _, err := c.Read(make([]byte, 1024)); err != nil {
				return
			}
		}
	}},
}

// sendAll writes parts until one fails, which an instance may cause by closing the connection.
func sendAll(c net.Conn, parts ...string) {
	for _, part := range parts {
		if _, err := c.Write([]byte(part)); err != nil {
			return
		}
	}
}

// sendCrowds lets one crowd after the other connect to random instances until stop is closed.
func (d *deployment) sendCrowds(random *rand.Rand, stop <-chan struct{}) {
	number := 0
	for pause(random, stop, 100*time.Millisecond, time.Second) {
		kind := crowdKinds[random.IntN(len(crowdKinds))]
		instance := d.instances[random.IntN(len(d.instances))]
		count := 20 + random.IntN(maxCrowd-20)
		stay := time.Duration(200+random.IntN(3000)) * time.Millisecond
		d.journal("%s: %d clients of the kind %q for %v", instance.name, count, kind.name, stay)
		var clients sync.WaitGroup
		for range count {
			number++
			client := number
			clients.Go(func() { d.crowdClient(instance, kind, client, stay, stop) })
		}
		clients.Wait()
	}
}

// crowdClient is one client of a crowd.
func (d *deployment) crowdClient(instance *entryInstance, kind crowdKind, number int, stay time.Duration, stop <-chan struct{}) {
	end := time.After(stay)
	dialer := net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP(crowdAddress)}}
	c, err := dialer.Dial("tcp", instance.ip+":"+strconv.Itoa(kind.port))
	if err != nil {
		return // The instance is away.
	}
	defer c.Close()
	_ = c.SetWriteDeadline(time.Now().Add(stay))
	kind.act(c, number)
	select {
	case <-end:
	case <-stop:
	}
}

// watchMemory reports an instance that takes more memory than its settings allow, until stop is
// closed.
func (d *deployment) watchMemory(stop <-chan struct{}) {
	reported := map[int]bool{}
	largest := int64(0)
	defer func() { d.t.Logf("largest resident memory of an instance: %d MB", largest>>10) }()
	for {
		select {
		case <-stop:
			return
		case <-time.After(memoryPeriod):
		}
		for _, instance := range d.instances {
			p := instance.current()
			if p == nil {
				continue
			}
			kb := residentKB(p.command.Process.Pid)
			largest = max(largest, kb)
			if kb > soakMemoryMB<<10 && !reported[instance.index] {
				reported[instance.index] = true
				d.report("%s takes %d KB of %d MB", instance.name, kb, soakMemoryMB)
			}
		}
	}
}

// residentKB returns the resident memory of a process in kilobytes, or 0 if it has ended.
func residentKB(pid int) int64 {
	content, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(content)) {
		if rest, found := strings.CutPrefix(line, "VmRSS:"); found {
			kb, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return kb
		}
	}
	return 0
}
