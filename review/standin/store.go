//go:build review

package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	recordBytes   = 262144
	callBytes     = 2097152
	newestItems   = 500
	newestBytes   = 1 << 20
	storeLatency  = 4 * time.Millisecond
	keptResponses = 5
)

// store stands in for the platform's metadata store, with the calls that the entry
// instances use: log-append, log-read and log-newest on keyed topics.
type store struct {
	server   *http.Server
	address  string
	mu       sync.Mutex
	parts    map[string]*partition
	down     atomic.Bool
	rejected atomic.Int64
	record   *recorder
}

type partition struct {
	records  [][]byte
	newest   map[string]keyed
	appended chan struct{}
	writers  map[string]*producer
}

type keyed struct {
	value  []byte
	offset int
}

// producer is what a partition remembers about one producer.
type producer struct {
	epoch, next int64
	answers     map[int64]map[string]any
}

func newStore(record *recorder) *store {
	s := &store{parts: map[string]*partition{}, record: record}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	s.address = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/log-append", s.append)
	mux.HandleFunc("GET /-/log-read", s.read)
	mux.HandleFunc("GET /-/log-newest", s.newest)
	s.server = &http.Server{Handler: mux}
	go s.server.Serve(listener)
	return s
}

// setDown makes the store answer every call with 503, which means that nothing was done.
func (s *store) setDown(down bool) {
	s.down.Store(down)
	if down {
		s.record.add("store: down, answers 503")
	} else {
		s.record.add("store: back")
	}
}

func (s *store) refuses(w http.ResponseWriter) bool {
	time.Sleep(storeLatency)
	if s.down.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	}
	return false
}

// part returns a partition. The caller must hold s.mu.
func (s *store) part(name string) *partition {
	p := s.parts[name]
	if p == nil {
		p = &partition{newest: map[string]keyed{}, appended: make(chan struct{}), writers: map[string]*producer{}}
		s.parts[name] = p
	}
	return p
}

func (p *partition) add(record []byte) {
	key := string(record[1 : 1+int(record[0])])
	value := record[1+int(record[0]):]
	if len(value) == 0 {
		delete(p.newest, key)
	} else {
		p.newest[key] = keyed{value, len(p.records)}
	}
	p.records = append(p.records, record)
	close(p.appended)
	p.appended = make(chan struct{})
}

// put appends a record as the operator or a worker does.
func (s *store) put(topic, key string, value any) {
	var encoded []byte
	if value != nil {
		encoded, _ = json.Marshal(value)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.part(topic + "/0").add(append(append([]byte{byte(len(key))}, key...), encoded...))
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(body)
}

func split(body []byte) (records [][]byte, ok bool) {
	if len(body) > callBytes {
		return nil, false
	}
	for len(body) > 0 {
		if len(body) < 4 {
			return nil, false
		}
		n := int(binary.BigEndian.Uint32(body))
		if n == 0 || n > recordBytes || n > len(body)-4 || 1+int(body[4]) > n {
			return nil, false
		}
		records = append(records, body[4:4+n])
		body = body[4+n:]
	}
	return records, true
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil || s.refuses(w) {
		return
	}
	q := r.URL.Query()
	records, ok := split(body)
	if !ok {
		s.rejected.Add(1)
		s.record.add("store: rejects an append of %d bytes to %s with 400: a record or the call is too long", len(body), q.Get("topic"))
		reply(w, http.StatusBadRequest, map[string]any{"reason": "size"})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.part(q.Get("topic") + "/" + q.Get("part"))
	if at := q.Get("at"); at != "" && at != strconv.Itoa(len(p.records)) {
		reply(w, http.StatusPreconditionFailed, map[string]any{"end": len(p.records)})
		return
	}
	var writer *producer
	sequence := int64(0)
	if name := q.Get("producer"); name != "" {
		epoch, _ := strconv.ParseInt(q.Get("epoch"), 10, 64)
		sequence, _ = strconv.ParseInt(q.Get("sequence"), 10, 64)
		writer = p.writers[name]
		switch {
		case writer == nil || epoch > writer.epoch:
			writer = &producer{epoch: epoch, next: sequence, answers: map[int64]map[string]any{}}
			p.writers[name] = writer
		case epoch < writer.epoch:
			reply(w, http.StatusConflict, map[string]any{"reason": "fenced"})
			return
		}
		if answer, repeated := writer.answers[sequence]; repeated {
			reply(w, http.StatusOK, answer)
			return
		}
		if sequence != writer.next {
			reply(w, http.StatusConflict, map[string]any{"reason": "seq", "sequence": writer.next})
			return
		}
	}
	offset := len(p.records)
	for _, record := range records {
		p.add(record)
	}
	answer := map[string]any{"offset": offset, "end": len(p.records)}
	if writer != nil {
		writer.answers[sequence] = answer
		delete(writer.answers, sequence-keptResponses)
		writer.next = sequence + 1
	}
	reply(w, http.StatusOK, answer)
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	limit, err := strconv.Atoi(q.Get("max_kb"))
	if err != nil || limit > 1024 {
		limit = 1024
	}
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		if s.refuses(w) {
			return
		}
		s.mu.Lock()
		p := s.part(q.Get("topic") + "/" + q.Get("part"))
		out := binary.BigEndian.AppendUint64(nil, uint64(len(p.records)))
		out = binary.BigEndian.AppendUint64(out, 0)
		for i := from; i < len(p.records) && len(out) < limit<<10; i++ {
			out = binary.BigEndian.AppendUint32(out, uint32(len(p.records[i])))
			out = append(out, p.records[i]...)
		}
		appended := p.appended
		s.mu.Unlock()
		if len(out) > 16 || wait == 0 {
			w.Write(out)
			return
		}
		select {
		case <-appended:
		case <-deadline:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) newest(w http.ResponseWriter, r *http.Request) {
	if s.refuses(w) {
		return
	}
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.part(q.Get("topic") + "/" + q.Get("part"))
	var keys []string
	for key := range p.newest {
		if key > q.Get("after") {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items, size, more := []map[string]any{}, 0, false
	for _, key := range keys {
		if len(items) == newestItems || size > newestBytes {
			more = true
			break
		}
		newest := p.newest[key]
		size += len(newest.value)
		items = append(items, map[string]any{"key": key, "offset": newest.offset, "value": base64.StdEncoding.EncodeToString(newest.value)})
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "end": len(p.records)})
}
