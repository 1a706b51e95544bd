package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of grown/aigaio-hunt-grown.toml, of its smallest machines.
const (
	linkBytesPerSecond = 10_000_000 / 8
	restoreMemoryMB    = 184
	// restoreJobs are handed in within restoreTraffic. The site sends as many in status_s.
	restoreJobs    = 4000
	restoreTraffic = 62 * time.Second
	specBytes      = 4000
	restartDelay   = time.Second
	restoreAsked   = 40
	timeLimit      = 3 * time.Second
	// watched is until when the answers are awaited after the check, for the record only.
	watched = 14 * time.Second
)

// slowLink is a proxy in front of the log that carries what one machine reads at the rate of its link.
func slowLink(target string) (address string, stop func(), err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	var mu sync.Mutex
	var free time.Time // When the link has carried all that was sent so far.
	carry := func(n int) {
		mu.Lock()
		if now := time.Now(); free.Before(now) {
			free = now
		}
		free = free.Add(time.Duration(n) * time.Second / linkBytesPerSecond)
		until := free
		mu.Unlock()
		time.Sleep(time.Until(until))
	}
	copyBytes := func(to, from net.Conn, limited bool) {
		defer to.Close()
		defer from.Close()
		buffer := make([]byte, 8<<10)
		for {
			n, err := from.Read(buffer)
			if limited {
				carry(n)
			}
			if _, writeErr := to.Write(buffer[:n]); err != nil || writeErr != nil {
				return
			}
		}
	}
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			server, err := net.Dial("tcp", target)
			if err != nil {
				client.Close()
				continue
			}
			go copyBytes(server, client, false)
			go copyBytes(client, server, true)
		}
	}()
	return listener.Addr().String(), func() { listener.Close() }, nil
}

// restore kills all instances after the traffic and asks for accepted jobs finish_s later.
func restore(record *recorder, trouble bool) (broken bool, err error) {
	jobs := restoreJobs
	if n, err := strconv.Atoi(os.Getenv("JOBS")); err == nil {
		jobs = n
	}
	s, err := newSystem(record, 0)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return false, err
	}
	for n := range 3 {
		address, stop, err := slowLink(s.log.Address())
		if err != nil {
			return false, err
		}
		defer stop()
		s.logAddress, s.memoryMB = address, restoreMemoryMB
		if err := s.addInstance(n); err != nil {
			return false, err
		}
	}
	w := newWorld(record, s.log.AppendRecord)
	defer w.close()
	for n := range 8 {
		if _, err := w.addWorker(fmt.Sprintf("w%d", n+1), fmt.Sprintf("r%d", n%3+1), "a"); err != nil {
			return false, err
		}
	}
	w.register()
	if err := s.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	accepted := s.handInMany(w, jobs)
	record.line("the traffic has ended: %d of %d jobs accepted", len(accepted), jobs)
	if len(accepted) < jobs/2 {
		return false, fmt.Errorf("only %d of %d jobs were accepted", len(accepted), jobs)
	}
	ended := time.Now()
	if trouble {
		for _, i := range s.instances {
			s.kill(i)
		}
		time.Sleep(restartDelay)
		for _, i := range s.instances {
			if err := s.start(i); err != nil {
				return false, err
			}
		}
	}
	time.Sleep(time.Until(ended.Add(finishTime)))
	answered := s.askFor(accepted, timeLimit)
	record.line("%.1f s after the traffic: %d of %d accepted jobs answered", time.Since(ended).Seconds(), answered, restoreAsked)
	fmt.Println(answered, "of", restoreAsked, "accepted jobs answered")
	for broken = answered < restoreAsked; broken && time.Since(ended) < finishTime+timeLimit+watched; time.Sleep(500 * time.Millisecond) {
		if status, _ := s.call(s.instances[0], http.MethodGet, accepted[0], nil); status == http.StatusOK {
			record.line("%.1f s after the traffic: the first answer", time.Since(ended).Seconds())
			fmt.Printf("first answer %.1f s after the traffic\n", time.Since(ended).Seconds())
			break
		}
	}
	return broken, nil
}

// handInMany hands in jobs of one short task from many callers.
func (s *system) handInMany(w *world, jobs int) (accepted []string) {
	const callers = 24
	spec := strings.Repeat("x", specBytes-len("0123456789abcdef"))
	var mu sync.Mutex
	var group sync.WaitGroup
	for caller := range callers {
		client := callerFrom(fmt.Sprintf("127.1.1.%d", caller+1))
		group.Go(func() {
			began := time.Now()
			for n := caller; n < jobs; n += callers {
				time.Sleep(time.Until(began.Add(restoreTraffic * time.Duration(n) / time.Duration(jobs))))
				id := fmt.Sprintf("c0de%012x", n)
				job := &jobSpec{Spec: id + spec, Steps: []stepSpec{{Count: 1, CPU: 100, MemoryMB: 100, Estimate: 100}}}
				w.mu.Lock()
				w.jobs[id] = job
				w.mu.Unlock()
				if s.submitFrom(client, id, job) {
					mu.Lock()
					accepted = append(accepted, id)
					mu.Unlock()
				}
			}
		})
	}
	group.Wait()
	return accepted
}

// callerFrom returns the client of a caller with its own address.
func callerFrom(ip string) *http.Client {
	dialer := &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}}
	return &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 4}}
}

// askFor asks for accepted jobs at all instances in turn until each is answered or its time limit is
// over, and returns how many were answered.
func (s *system) askFor(accepted []string, limit time.Duration) (answered int) {
	var mu sync.Mutex
	var group sync.WaitGroup
	for n := range restoreAsked {
		id := accepted[n*len(accepted)/restoreAsked]
		group.Go(func() {
			deadline := time.Now().Add(limit)
			for attempt := 0; time.Now().Before(deadline); attempt++ {
				i := s.instances[(n+attempt)%len(s.instances)]
				status, answer := s.call(i, http.MethodGet, id, nil)
				s.record.line("GET %s at %s -> %d %s", id, i.name, status, answer)
				if status == http.StatusOK {
					mu.Lock()
					answered++
					mu.Unlock()
					return
				}
				time.Sleep(500 * time.Millisecond)
			}
		})
	}
	group.Wait()
	return answered
}
