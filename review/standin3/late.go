package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"sync/atomic"
	"time"
)

// The doses of the disruptions of the case, as the pages name them.
const (
	// lateShare of the orders get no answer and are carried out 2 to 12 s later, for lateTime.
	lateShare = 0.5
	lateTime  = 5500 * time.Millisecond
	// crashedWorkers of lateWorkers, 15 in 100, are down for downTime.
	lateWorkers    = 20
	crashedWorkers = 3
	downTime       = 1500 * time.Millisecond
	// rounds is how often orders are late. In each round, workers crash crashes times, with
	// crashPause from one to the next.
	rounds     = 7
	roundPause = 13 * time.Second
	crashes    = 3
	crashPause = 3 * time.Second
)

// delayingProxy stands between the instances and one worker. While it is on, a share of the start
// orders is held for 2 to 12 s and delivered then; their senders get no answer.
type delayingProxy struct {
	address string
	on      atomic.Bool
	server  *http.Server
}

func newDelayingProxy(record *recorder, worker string) (*delayingProxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &delayingProxy{address: listener.Addr().String()}
	target := &url.URL{Scheme: "http", Host: worker}
	forward := httputil.NewSingleHostReverseProxy(target)
	forward.ErrorHandler = func(http.ResponseWriter, *http.Request, error) { abort() }
	forward.ErrorLog = nil
	p.server = &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/-/run-start" || !p.on.Load() || rand.Float64() >= lateShare {
			forward.ServeHTTP(rw, r)
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			abort()
		}
		header := r.Header.Clone()
		time.AfterFunc(2*time.Second+rand.N(10*time.Second), func() {
			request, err := http.NewRequest(http.MethodPost, target.String()+r.URL.Path, bytes.NewReader(body))
			if err != nil {
				return
			}
			request.Header = header
			response, err := http.DefaultClient.Do(request)
			if err != nil {
				record.line("a late order finds no worker at %s: %s", worker, body)
				return
			}
			defer response.Body.Close()
			answer, _ := io.ReadAll(response.Body)
			if response.StatusCode != http.StatusOK {
				return // The worker follows a newer order, as nearly all do.
			}
			record.line("a late order is delivered at %s: %s -> %d %s", worker, body, response.StatusCode, answer)
		})
		<-r.Context().Done()
	})}
	go func() { _ = p.server.Serve(listener) }()
	return p, nil
}

// lateOrders lets orders arrive late while workers crash and start again under their ids.
func lateOrders(record *recorder, trouble bool) (broken bool, err error) {
	s, err := newSystem(record, 3)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return false, err
	}
	w := newWorld(record, s.log.AppendRecord)
	defer w.close()
	var proxies []*delayingProxy
	for n := range lateWorkers {
		x, err := w.addWorker(fmt.Sprintf("w%d", n+1), fmt.Sprintf("r%d", n%3+1), "a")
		if err != nil {
			return false, err
		}
		p, err := newDelayingProxy(record, x.address)
		if err != nil {
			return false, err
		}
		defer p.server.Close()
		w.mu.Lock()
		x.registered = p.address
		w.mu.Unlock()
		proxies = append(proxies, p)
	}
	w.register()
	if err := s.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	go func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(60 * time.Millisecond):
			}
			id := fmt.Sprintf("1a7e%012x", n)
			spec := &jobSpec{Spec: "spec of " + id, Steps: []stepSpec{{Count: 8, CPU: 1600, MemoryMB: 1000, Estimate: 800}}}
			w.mu.Lock()
			w.jobs[id] = spec
			w.mu.Unlock()
			s.submit(id, spec)
		}
	}()
	for range rounds {
		began := time.Now()
		if trouble {
			for _, p := range proxies {
				p.on.Store(true)
			}
			record.line("half of the start orders are late")
			time.AfterFunc(lateTime, func() {
				for _, p := range proxies {
					p.on.Store(false)
				}
				record.line("start orders are prompt again")
			})
			for n := range crashes {
				time.Sleep(time.Until(began.Add(crashPause*time.Duration(n+1) + time.Second)))
				s.crashSome(w)
			}
		}
		time.Sleep(time.Until(began.Add(roundPause)))
	}
	close(stop)
	w.mu.Lock()
	defer w.mu.Unlock()
	twice := 0
	for _, b := range w.broken {
		fmt.Println(b)
		twice++
	}
	record.line("%d times a rule was broken", twice)
	return twice > 0, nil
}

// crashSome crashes workers and starts them again under their ids.
func (s *system) crashSome(w *world) {
	w.mu.Lock()
	var crashed []*worker
	for _, n := range rand.Perm(len(w.workers))[:crashedWorkers] {
		w.workers[n].crash()
		crashed = append(crashed, w.workers[n])
	}
	w.mu.Unlock()
	time.Sleep(downTime)
	w.mu.Lock()
	for _, x := range crashed {
		x.begin()
		s.record.line("%s is back under its id", x.id)
	}
	w.mu.Unlock()
	w.register()
}
