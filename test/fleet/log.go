// Package fleet emulates the users' platform on loopback: its log with keyed
// topics, workers that run tasks, and the advice service. It speaks the
// platform's wire format, so that the platform adapter and complete entry
// instances can be tested without a test bench.
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

// Log emulates the platform's log over HTTP. All of its topics are keyed. It is
// safe for concurrent use.
type Log struct {
	server *httptest.Server

	mu sync.Mutex
	// partitions holds the partitions by "topic/partition".
	partitions map[string]*partition
	// responsesToLose is the number of coming appends that take effect without a
	// response.
	responsesToLose int
	// down makes the log refuse all calls.
	down bool
	// recordBytes and callBytes limit a record and the records of an append.
	recordBytes, callBytes int
}

// partition is one partition of a topic. A record is one byte with the length of
// its key, the key and the value.
type partition struct {
	records [][]byte
	// firstOffset is the offset of the first record in records.
	firstOffset int
	// keys holds all keys in the order of their first record, and newest the
	// newest record of each.
	keys   []string
	newest map[string]keyedValue
	// epochs and nextSequence hold the epoch and the next sequence number of each
	// producer.
	epochs       map[string]int64
	nextSequence map[string]int64
	// appended is closed and replaced at each append.
	appended chan struct{}
}

// keyedValue is the value of a record and its offset.
type keyedValue struct {
	value  []byte
	offset int
	// damaged makes log-newest send a value that is not base64.
	damaged bool
}

// NewLog starts an empty log on loopback. Topics are created when they are
// first used.
func NewLog() *Log {
	l := &Log{partitions: map[string]*partition{}, recordBytes: 262144, callBytes: 2097152}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/log-append", l.serveAppend)
	mux.HandleFunc("GET /-/log-read", l.serveRead)
	mux.HandleFunc("GET /-/log-newest", l.serveNewest)
	l.server = httptest.NewServer(mux)
	return l
}

// Address returns the IP:port that the log listens on.
func (l *Log) Address() string { return l.server.Listener.Addr().String() }

// Close stops the log and closes its connections.
func (l *Log) Close() {
	l.server.CloseClientConnections()
	l.server.Close()
}

// ResetConnections closes all connections of clients. They may connect again.
func (l *Log) ResetConnections() { l.server.CloseClientConnections() }

// LoseResponses makes the next count appends take effect without a response: the
// log closes the connection instead.
func (l *Log) LoseResponses(count int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.responsesToLose = count
}

// SetDown makes the log refuse all calls with status 503 if down is true, and
// serve them again otherwise.
func (l *Log) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// SetRecordLimit makes the log refuse appends with a record of more than the given bytes.
func (l *Log) SetRecordLimit(bytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recordBytes = bytes
}

// withinLimits reports whether the body of an append consists of records within the
// limits. The caller must hold l.mu.
func (l *Log) withinLimits(body []byte) bool {
	if len(body) > l.callBytes {
		return false
	}
	for len(body) > 0 {
		if len(body) < 4 {
			return false
		}
		size := int(binary.BigEndian.Uint32(body))
		if size < 1 || size > l.recordBytes || size > len(body)-4 || 1+int(body[4]) > size {
			return false
		}
		body = body[4+size:]
	}
	return true
}

// DropHistory drops the records of a topic's partition 0, so that they can't be
// read any more. The newest record of each key stays available to log-newest.
func (l *Log) DropHistory(topic string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.findOrCreate(topic, "0")
	p.firstOffset += len(p.records)
	p.records = nil
}

// AppendRecord appends one record to a topic's partition 0, as the platform or an
// operator does. The key has at most 255 bytes.
func (l *Log) AppendRecord(topic, key string, value []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	record := append([]byte{byte(len(key))}, key...)
	l.findOrCreate(topic, "0").appendRecord(append(record, value...))
}

// AppendDamagedRecord appends one record to a topic's partition 0 that no reader can
// take apart: reads return it without content, and log-newest with a value that is
// not base64.
func (l *Log) AppendDamagedRecord(topic, key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.findOrCreate(topic, "0")
	p.appendRecord(append([]byte{byte(len(key))}, key...))
	p.newest[key] = keyedValue{value: []byte("damaged"), offset: p.endOffset() - 1, damaged: true}
	p.records[len(p.records)-1] = nil
}

// findOrCreate returns a partition of a topic. The caller must hold l.mu.
func (l *Log) findOrCreate(topic, partitionName string) *partition {
	name := topic + "/" + partitionName
	if l.partitions[name] == nil {
		l.partitions[name] = &partition{newest: map[string]keyedValue{}, epochs: map[string]int64{},
			nextSequence: map[string]int64{}, appended: make(chan struct{})}
	}
	return l.partitions[name]
}

// endOffset returns the offset that the next record will get.
func (p *partition) endOffset() int { return p.firstOffset + len(p.records) }

func (p *partition) appendRecord(record []byte) {
	key := string(record[1 : 1+record[0]])
	if _, known := p.newest[key]; !known {
		p.keys = append(p.keys, key)
	}
	p.newest[key] = keyedValue{value: record[1+record[0]:], offset: p.endOffset()}
	p.records = append(p.records, record)
	close(p.appended)
	p.appended = make(chan struct{})
}

// refuseIfDown sends status 503 if the log is down, and reports whether it did.
func (l *Log) refuseIfDown(w http.ResponseWriter) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	return l.down
}

// writeJSON sends a response with a JSON body.
func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the client has closed the connection.
	_ = json.NewEncoder(w).Encode(body)
}

func (l *Log) serveAppend(w http.ResponseWriter, r *http.Request) {
	if l.refuseIfDown(w) {
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	status, reply, responseLost := l.applyAppend(r, body)
	if responseLost {
		panic(http.ErrAbortHandler) // Closes the connection without a response.
	}
	writeJSON(w, status, reply)
}

// applyAppend executes an append under the lock. It checks the expected end
// offset and the producer's epoch and sequence number if the request has them.
// If responseLost is true, the append has taken effect and must get no response.
// An append that repeats the producer's last sequence number is acknowledged
// without another effect.
func (l *Log) applyAppend(r *http.Request, body []byte) (status int, reply map[string]any, responseLost bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.withinLimits(body) {
		return http.StatusBadRequest, map[string]any{"reason": "size"}, false
	}
	query := r.URL.Query()
	p := l.findOrCreate(query.Get("topic"), query.Get("part"))
	if expectedEnd := query.Get("at"); expectedEnd != "" && expectedEnd != strconv.Itoa(p.endOffset()) {
		return http.StatusPreconditionFailed, map[string]any{"end": p.endOffset()}, false
	}
	if producer := query.Get("producer"); producer != "" {
		epoch, _ := strconv.ParseInt(query.Get("epoch"), 10, 64)
		sequence, _ := strconv.ParseInt(query.Get("sequence"), 10, 64)
		switch {
		case epoch < p.epochs[producer]:
			return http.StatusConflict, map[string]any{"reason": "fenced"}, false
		case epoch > p.epochs[producer]:
			p.epochs[producer] = epoch
			p.nextSequence[producer] = sequence
		}
		if sequence == p.nextSequence[producer]-1 {
			return http.StatusOK, map[string]any{"offset": p.endOffset(), "end": p.endOffset()}, false
		}
		if sequence != p.nextSequence[producer] {
			return http.StatusConflict, map[string]any{"reason": "seq", "sequence": p.nextSequence[producer]}, false
		}
		p.nextSequence[producer]++
	}
	offset := p.endOffset()
	for len(body) >= 4 {
		size := int(binary.BigEndian.Uint32(body))
		p.appendRecord(body[4 : 4+size])
		body = body[4+size:]
	}
	if l.responsesToLose > 0 {
		l.responsesToLose--
		return 0, nil, true
	}
	return http.StatusOK, map[string]any{"offset": offset, "end": p.endOffset()}, false
}

// serveRead sends the records from an offset on, after the end offset and the
// first offset, which take 16 bytes. It sends at least one record and stops before
// max_kb. If there are none, it waits for the next
// append for up to wait_ms. It answers with status 410 if the offset has been
// dropped.
func (l *Log) serveRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, _ := strconv.Atoi(query.Get("from"))
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	maxKB, err := strconv.Atoi(query.Get("max_kb"))
	if err != nil {
		maxKB = 1024
	}
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		if l.refuseIfDown(w) {
			return
		}
		l.mu.Lock()
		p := l.findOrCreate(query.Get("topic"), query.Get("part"))
		if from < p.firstOffset {
			l.mu.Unlock()
			writeJSON(w, http.StatusGone, map[string]any{"first": p.firstOffset})
			return
		}
		encoded := binary.BigEndian.AppendUint64(nil, uint64(p.endOffset()))
		encoded = binary.BigEndian.AppendUint64(encoded, uint64(p.firstOffset))
		for _, record := range p.records[min(from-p.firstOffset, len(p.records)):] {
			if len(encoded) > 16 && len(encoded)+len(record)+4 > maxKB<<10 {
				break
			}
			encoded = binary.BigEndian.AppendUint32(encoded, uint32(len(record)))
			encoded = append(encoded, record...)
		}
		appended := p.appended
		l.mu.Unlock()
		if len(encoded) > 16 || wait == 0 {
			_, _ = w.Write(encoded) // An error means that the client has closed the connection.
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

const (
	// maxPageItems bounds the items in one response of serveNewest. It is small, so
	// that tests need several pages.
	maxPageItems = 50
	// maxPageBytes bounds the values of a page, in base64, unless its only item is larger.
	maxPageBytes = 1 << 20
)

// serveNewest sends the newest record of each key, a page at a time, starting
// after the key in the parameter after. A page ends at maxPageItems or maxPageBytes. It skips
// keys whose newest value is empty.
func (l *Log) serveNewest(w http.ResponseWriter, r *http.Request) {
	if l.refuseIfDown(w) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	query := r.URL.Query()
	p := l.findOrCreate(query.Get("topic"), query.Get("part"))
	after := query.Get("after")
	skipping := after != ""
	items := []map[string]any{}
	hasMore := false
	pageBytes := 0
	for _, key := range p.keys {
		if skipping {
			skipping = key != after
			continue
		}
		if len(p.newest[key].value) == 0 {
			continue
		}
		value := base64.StdEncoding.EncodeToString(p.newest[key].value)
		if p.newest[key].damaged {
			value = "%"
		}
		pageBytes += len(value)
		if len(items) == maxPageItems || len(items) > 0 && pageBytes > maxPageBytes {
			hasMore = true
			break
		}
		items = append(items, map[string]any{"key": key, "offset": p.newest[key].offset, "value": value})
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": hasMore, "end": p.endOffset()})
}
