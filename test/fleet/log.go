// Package fleet emulates the users' platform on loopback: its log with keyed
// topics, and workers that run tasks. It speaks the platform's wire format, so
// that the adapter and whole entry instances are tested without the bench.
package fleet

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"time"
)

// Log emulates the platform's log. All of its topics are keyed.
type Log struct {
	server *httptest.Server

	mu         sync.Mutex
	partitions map[string]*partition
	// loseAnswers is the number of appends that are carried out without an
	// answer.
	loseAnswers int
	down        bool
}

// partition is one sequence of records.
type partition struct {
	records [][]byte
	// first is the offset of the oldest record kept.
	first   int
	keys    []string
	newest  map[string]entry
	epochs  map[string]int64
	next    map[string]int64
	changed chan struct{}
}

type entry struct {
	value  []byte
	offset int
}

// NewLog starts a log.
func NewLog() *Log {
	l := &Log{partitions: map[string]*partition{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/log-append", l.append)
	mux.HandleFunc("GET /-/log-read", l.read)
	mux.HandleFunc("GET /-/log-newest", l.readNewest)
	l.server = httptest.NewServer(mux)
	return l
}

// Address returns IP:port.
func (l *Log) Address() string { return l.server.Listener.Addr().String() }

// Close stops the log.
func (l *Log) Close() {
	l.server.CloseClientConnections()
	l.server.Close()
}

// LoseAnswers carries out the next count appends without an answer.
func (l *Log) LoseAnswers(count int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.loseAnswers = count
}

// SetDown refuses all calls, or serves them again.
func (l *Log) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// Forget drops the history of a topic and keeps the newest record of each key.
func (l *Log) Forget(topic string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.at(topic, "0")
	p.first += len(p.records)
	p.records = nil
}

// Put writes one record as the platform or an operator does.
func (l *Log) Put(topic, key string, value []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	content := append([]byte{byte(len(key))}, key...)
	l.at(topic, "0").add(append(content, value...))
}

func (l *Log) at(topic, part string) *partition {
	name := topic + "/" + part
	if l.partitions[name] == nil {
		l.partitions[name] = &partition{newest: map[string]entry{}, epochs: map[string]int64{},
			next: map[string]int64{}, changed: make(chan struct{})}
	}
	return l.partitions[name]
}

func (p *partition) end() int { return p.first + len(p.records) }

func (p *partition) add(content []byte) {
	key := string(content[1 : 1+content[0]])
	if _, known := p.newest[key]; !known {
		p.keys = append(p.keys, key)
	}
	p.newest[key] = entry{content[1+content[0]:], p.end()}
	p.records = append(p.records, content)
	close(p.changed)
	p.changed = make(chan struct{})
}

func (l *Log) refuse(w http.ResponseWriter) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	return l.down
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A client that has left needs no answer.
	_ = json.NewEncoder(w).Encode(body)
}

func (l *Log) append(w http.ResponseWriter, r *http.Request) {
	if l.refuse(w) {
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	status, reply, lost := l.apply(r, body)
	if lost {
		panic(http.ErrAbortHandler) // Ends the connection without an answer.
	}
	answer(w, status, reply)
}

// apply carries out an append under the lock.
func (l *Log) apply(r *http.Request, body []byte) (status int, reply map[string]any, lost bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	query := r.URL.Query()
	p := l.at(query.Get("topic"), query.Get("part"))
	if at := query.Get("at"); at != "" && at != strconv.Itoa(p.end()) {
		return http.StatusPreconditionFailed, map[string]any{"end": p.end()}, false
	}
	if producer := query.Get("producer"); producer != "" {
		epoch, _ := strconv.ParseInt(query.Get("epoch"), 10, 64)
		sequence, _ := strconv.ParseInt(query.Get("sequence"), 10, 64)
		switch {
		case epoch < p.epochs[producer]:
			return http.StatusConflict, map[string]any{"reason": "fenced"}, false
		case epoch > p.epochs[producer]:
			p.epochs[producer] = epoch
			p.next[producer] = sequence
		}
		if sequence == p.next[producer]-1 {
			return http.StatusOK, map[string]any{"offset": p.end(), "end": p.end()}, false
		}
		if sequence != p.next[producer] {
			return http.StatusConflict, map[string]any{"reason": "seq", "sequence": p.next[producer]}, false
		}
		p.next[producer]++
	}
	offset := p.end()
	for len(body) >= 4 {
		size := int(binary.BigEndian.Uint32(body))
		p.add(body[4 : 4+size])
		body = body[4+size:]
	}
	if l.loseAnswers > 0 {
		l.loseAnswers--
		return 0, nil, true
	}
	return http.StatusOK, map[string]any{"offset": offset, "end": p.end()}, false
}

func (l *Log) read(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, _ := strconv.Atoi(query.Get("from"))
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		if l.refuse(w) {
			return
		}
		l.mu.Lock()
		p := l.at(query.Get("topic"), query.Get("part"))
		if from < p.first {
			l.mu.Unlock()
			answer(w, http.StatusGone, map[string]any{"first": p.first})
			return
		}
		raw := binary.BigEndian.AppendUint64(nil, uint64(p.end()))
		raw = binary.BigEndian.AppendUint64(raw, uint64(p.first))
		for _, content := range p.records[min(from-p.first, len(p.records)):] {
			raw = binary.BigEndian.AppendUint32(raw, uint32(len(content)))
			raw = append(raw, content...)
		}
		changed := p.changed
		l.mu.Unlock()
		if len(raw) > 16 || wait == 0 {
			_, _ = w.Write(raw) // A client that has left needs no answer.
			return
		}
		select {
		case <-changed:
		case <-deadline:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

// pageItems is small, so that tests turn pages.
const pageItems = 50

func (l *Log) readNewest(w http.ResponseWriter, r *http.Request) {
	if l.refuse(w) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	query := r.URL.Query()
	p := l.at(query.Get("topic"), query.Get("part"))
	after := query.Get("after")
	skipping := after != ""
	items := []map[string]any{}
	more := false
	for _, key := range p.keys {
		if skipping {
			skipping = key != after
			continue
		}
		if len(p.newest[key].value) == 0 {
			continue
		}
		if len(items) == pageItems {
			more = true
			break
		}
		items = append(items, map[string]any{"key": key, "offset": p.newest[key].offset,
			"value": base64.StdEncoding.EncodeToString(p.newest[key].value)})
	}
	answer(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "end": p.end()})
}
