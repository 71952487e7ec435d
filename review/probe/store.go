package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the store, as in the settings of the nodes.
const (
	recordBytes = 262144
	callBytes   = 2097152
	pageItems   = 500
)

// store is a stand-in of the platform's metadata store.
type store struct {
	mu     sync.Mutex
	topics map[string]*partition // by topic; protected by mu
	silent bool                  // calls that arrive get no response, then or later; protected by mu
	closed chan struct{}         // closed at the end of the case
}

type record struct {
	key    string
	value  []byte
	raw    []byte
	offset int64
}

type partition struct {
	records   []record
	newest    map[string]record
	producers map[string]*producer
	appended  chan struct{}
}

type producer struct {
	epoch, seq int64
	started    bool
	recent     []appendResult
}

type appendResult struct{ seq, offset, end int64 }

func newStore() *store {
	return &store{topics: map[string]*partition{}, closed: make(chan struct{})}
}

func (s *store) setSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
}

// partition returns the only partition of a topic. The caller holds mu.
func (s *store) partition(topic string) *partition {
	p := s.topics[topic]
	if p == nil {
		p = &partition{newest: map[string]record{}, producers: map[string]*producer{}, appended: make(chan struct{})}
		s.topics[topic] = p
	}
	return p
}

// put appends a record of the operator or of a worker. A nil value drops the key.
func (s *store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	raw := append(append([]byte{byte(len(key))}, key...), value...)
	s.partition(topic).append([]record{{key: key, value: value, raw: raw}})
}

func (p *partition) append(records []record) (offset, end int64) {
	offset = int64(len(p.records))
	for _, r := range records {
		r.offset = int64(len(p.records))
		p.records = append(p.records, r)
		if len(r.value) == 0 {
			delete(p.newest, r.key)
		} else {
			p.newest[r.key] = r
		}
	}
	close(p.appended)
	p.appended = make(chan struct{})
	return offset, int64(len(p.records))
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	silent := s.silent
	s.mu.Unlock()
	if silent {
		_, _ = io.Copy(io.Discard, r.Body) // the connection returns nothing further
		select {
		case <-r.Context().Done():
		case <-s.closed:
		}
		return
	}
	switch r.Method + " " + r.URL.Path {
	case "POST /log-append":
		s.serveAppend(w, r)
	case "GET /log-read":
		s.serveRead(w, r)
	case "GET /log-newest":
		s.serveNewest(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func queryInt(r *http.Request, name string) int64 {
	n, err := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	if err != nil {
		return 0 // absent
	}
	return n
}

// parseRecords returns the records of an append, or false if the body breaks a limit of the store.
func parseRecords(topic string, body []byte) ([]record, bool) {
	var records []record
	if len(body) > callBytes {
		return nil, false
	}
	for len(body) > 0 {
		if len(body) < 4 {
			return nil, false
		}
		size := int(binary.BigEndian.Uint32(body))
		if size > recordBytes || size > len(body)-4 {
			return nil, false
		}
		raw := body[4 : 4+size]
		r := record{raw: raw}
		if strings.HasPrefix(topic, "keyed.") {
			if size == 0 || int(raw[0]) > size-1 {
				return nil, false
			}
			r.key, r.value = string(raw[1:1+int(raw[0])]), raw[1+int(raw[0]):]
		}
		records = append(records, r)
		body = body[4+size:]
	}
	return records, true
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the caller has left
	}
	q := r.URL.Query()
	topic := q.Get("topic")
	if topic == "keyed.op" || topic == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	records, ok := parseRecords(topic, body)
	if !ok {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	status, answer := s.partition(topic).serve(q.Has("at"), queryInt(r, "at"), q.Get("producer"), queryInt(r, "epoch"), queryInt(r, "seq"), records)
	s.mu.Unlock()
	writeJSON(w, status, answer)
}

// serve applies an append and returns the status and the body of its response.
func (p *partition) serve(conditional bool, at int64, name string, epoch, seq int64, records []record) (int, map[string]any) {
	end := int64(len(p.records))
	if conditional && at != end {
		return http.StatusPreconditionFailed, map[string]any{"end": end}
	}
	if name != "" {
		state := p.producers[name]
		if state == nil {
			state = &producer{}
			p.producers[name] = state
		}
		if epoch < state.epoch {
			return http.StatusConflict, map[string]any{"reason": "fenced"}
		}
		if epoch > state.epoch {
			*state = producer{epoch: epoch}
		}
		if len(records) == 0 {
			return http.StatusOK, map[string]any{"offset": end, "end": end}
		}
		for _, a := range state.recent {
			if a.seq == seq {
				return http.StatusOK, map[string]any{"offset": a.offset, "end": a.end}
			}
		}
		if state.started && seq != state.seq+1 {
			return http.StatusConflict, map[string]any{"reason": "seq", "expected": state.seq + 1}
		}
		state.started, state.seq = true, seq
		offset, newEnd := p.append(records)
		state.recent = append(state.recent, appendResult{seq, offset, newEnd})
		if len(state.recent) > 5 {
			state.recent = state.recent[1:]
		}
		return http.StatusOK, map[string]any{"offset": offset, "end": newEnd}
	}
	offset, newEnd := p.append(records)
	return http.StatusOK, map[string]any{"offset": offset, "end": newEnd}
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	topic, from := r.URL.Query().Get("topic"), queryInt(r, "from")
	limit := int(queryInt(r, "max_kb")) << 10
	if limit <= 0 {
		limit = 1 << 20
	}
	timer := time.NewTimer(time.Duration(min(queryInt(r, "wait_ms"), 30000)) * time.Millisecond)
	defer timer.Stop()
	for waiting := true; ; {
		s.mu.Lock()
		p := s.partition(topic)
		end, appended := int64(len(p.records)), p.appended
		body := binary.BigEndian.AppendUint64(nil, uint64(end))
		body = binary.BigEndian.AppendUint64(body, 0)
		for i := from; i < end && len(body) < limit; i++ {
			body = binary.BigEndian.AppendUint32(body, uint32(len(p.records[i].raw)))
			body = append(body, p.records[i].raw...)
		}
		silent := s.silent
		s.mu.Unlock()
		if silent { // a call that waits gets no response either
			select {
			case <-r.Context().Done():
			case <-s.closed:
			}
			return
		}
		if from < end || !waiting {
			_, _ = w.Write(body) // fails only if the caller has left
			return
		}
		select {
		case <-appended:
		case <-timer.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	after := r.URL.Query().Get("after")
	s.mu.Lock()
	p := s.partition(r.URL.Query().Get("topic"))
	var keys []string
	for key := range p.newest {
		if key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items, size, more := []map[string]any{}, 0, false
	for _, key := range keys {
		item := p.newest[key]
		if len(items) == pageItems || size+len(item.value) > 1<<20 && len(items) > 0 {
			more = true
			break
		}
		size += len(item.value)
		items = append(items, map[string]any{
			"key": key, "value": base64.StdEncoding.EncodeToString(item.value), "offset": item.offset})
	}
	answer := map[string]any{"items": items, "more": more, "end": len(p.records)}
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, answer)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails only if the caller has left
}
