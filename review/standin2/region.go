package main

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The figures of the site file aigaio-hunt-grown.
const (
	// oneWay is the delay between the regions, and regionBytesPerSecond what a link between them
	// carries each way.
	oneWay               = 30 * time.Millisecond
	regionBytesPerSecond = 60_000_000 / 8
	// answerTime is what the log takes for an answer.
	answerTime = 4 * time.Millisecond
	// At 28.6 jobs a second, 3,200 jobs come in 112 s, and the state of each is kept for 120 s
	// after its end. The script hands them in faster, since it runs for less than 120 s.
	jobsPerSecond = 39
	traffic       = 82 * time.Second
	// defaultSpecBytes is the length of a spec that PROTOCOL.md allows. The environment variable
	// SPEC_BYTES sets another one.
	defaultSpecBytes = 4000
	// pageItems and pageBytes limit a page of the newest records.
	pageItems = 500
	pageBytes = 1 << 20
)

// regionLink is the link from the region of the log to another one. All answers share it.
type regionLink struct {
	mu     sync.Mutex
	freeAt time.Time
}

// carry waits until a number of bytes has arrived at the other end.
func (l *regionLink) carry(n int) {
	l.mu.Lock()
	if now := time.Now(); l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(n) * time.Second / regionBytesPerSecond)
	arrival := l.freeAt.Add(oneWay)
	l.mu.Unlock()
	time.Sleep(time.Until(arrival))
}

// logPath is the way from an instance to the log: a proxy that passes on calls after the time that
// they take. A page of the newest records has up to 500 records or 1 MB, as the pages say.
type logPath struct {
	target string
	// link is nil for an instance in the region of the log.
	link   *regionLink
	client *http.Client
	// pages counts the pages of the topic of cells, and bytes what they held.
	pages, bytes atomic.Int64
}

func (p *logPath) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if p.link != nil {
		time.Sleep(oneWay)
	}
	time.Sleep(answerTime)
	status, answer, err := p.forward(r, body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if p.link != nil {
		p.link.carry(len(answer))
	}
	w.WriteHeader(status)
	_, _ = w.Write(answer)
}

func (p *logPath) forward(r *http.Request, body []byte) (status int, answer []byte, err error) {
	query := r.URL.Query()
	if r.URL.Path != "/-/log-newest" {
		return p.call(r, query, body)
	}
	var page struct {
		Items   []json.RawMessage `json:"items"`
		HasMore bool              `json:"has_more"`
		End     int64             `json:"end"`
	}
	var items []json.RawMessage
	end, size := int64(-1), 0
	for {
		status, raw, err := p.call(r, query, nil)
		if err != nil || status != http.StatusOK {
			return status, raw, err
		}
		page.Items = nil
		if err := json.Unmarshal(raw, &page); err != nil {
			return 0, nil, err
		}
		if end < 0 {
			end = page.End
		}
		for i, item := range page.Items {
			if len(items) > 0 && (len(items) == pageItems || size+len(item) > pageBytes) {
				page.HasMore = true
				page.Items = page.Items[:i]
				return p.encode(query, items, true, end)
			}
			items = append(items, item)
			size += len(item) + 1
		}
		if !page.HasMore || len(page.Items) == 0 {
			return p.encode(query, items, false, end)
		}
		var last struct {
			Key string `json:"key"`
		}
		if err := json.Unmarshal(page.Items[len(page.Items)-1], &last); err != nil {
			return 0, nil, err
		}
		query.Set("after", last.Key)
	}
}

func (p *logPath) encode(query url.Values, items []json.RawMessage, more bool, end int64) (int, []byte, error) {
	if items == nil {
		items = []json.RawMessage{}
	}
	raw, err := json.Marshal(map[string]any{"items": items, "has_more": more, "end": end})
	if query.Get("topic") == "keyed.cells" {
		p.pages.Add(1)
		p.bytes.Add(int64(len(raw)))
	}
	return http.StatusOK, raw, err
}

func (p *logPath) call(r *http.Request, query url.Values, body []byte) (int, []byte, error) {
	request, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+p.target+r.URL.Path+"?"+query.Encode(), bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	response, err := p.client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	return response.StatusCode, raw, err
}

// regionCase kills the instances in the region of the log at once, once. The platform starts them
// again after a second. LOST is broken if accepted jobs get no answer finish_s after the traffic.
func regionCase(s *system, trouble bool) (broken bool, err error) {
	link := &regionLink{}
	var paths []*logPath
	s.logAddress = func(n int) string {
		p := &logPath{target: s.log.Address(), client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}}
		if n >= 2 {
			p.link = link
		}
		paths = append(paths, p)
		server := httptest.NewServer(p)
		return strings.TrimPrefix(server.URL, "http://")
	}
	if err := s.startInstances(24, 200*time.Millisecond, "attiki-a", "attiki-b", "makedonia-a", "makedonia-b"); err != nil {
		return false, err
	}
	specBytes, err := strconv.Atoi(cmp.Or(os.Getenv("SPEC_BYTES"), strconv.Itoa(defaultSpecBytes)))
	if err != nil {
		return false, err
	}
	body := fmt.Sprintf(`{"spec":"%s","steps":[{"count":1,"cpu":1000,"mem_mb":100,"estimate_ms":200},{"count":1,"cpu":1000,"mem_mb":100,"estimate_ms":200,"after":[0]}]}`, strings.Repeat("s", specBytes))
	var mu sync.Mutex
	var accepted []string
	var requesters sync.WaitGroup
	begin := time.Now()
	for n := 0; time.Since(begin) < traffic; n++ {
		requesters.Go(func() {
			id := fmt.Sprintf("%016x", n+1)
			if s.submit(id, n, body) {
				mu.Lock()
				defer mu.Unlock()
				accepted = append(accepted, id)
			}
		})
		time.Sleep(time.Until(begin.Add(time.Duration(float64(n+1) / jobsPerSecond * float64(time.Second)))))
	}
	requesters.Wait()
	s.rec.line("end of the traffic; %d jobs are accepted", len(accepted))
	if trouble {
		for _, i := range s.instances[:2] {
			i.signal(syscall.SIGKILL)
		}
	}
	time.Sleep(finishWait)
	lost := 0
	asked := 0
	for n := 0; n < len(accepted); n += len(accepted) / 12 {
		asked++
		requesters.Go(func() {
			status, state := s.askFor(accepted[n], n, 6*time.Second)
			mu.Lock()
			defer mu.Unlock()
			if status == 200 {
				s.rec.line("job %s: %s", accepted[n], state)
				return
			}
			lost++
			s.rec.line("LOST: job %s is accepted; no answer for 6 s, the last status is %d", accepted[n], status)
		})
	}
	requesters.Wait()
	for n, p := range paths {
		s.rec.line("%s has read %d pages with %d bytes of the records of the cell", s.instances[n].name, p.pages.Load(), p.bytes.Load())
	}
	s.rec.line("%d of %d accepted jobs that were asked for without an answer", lost, asked)
	return lost > 0, nil
}
