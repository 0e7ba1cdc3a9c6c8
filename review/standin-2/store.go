package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in of the platform's store: a log of keyed topics with one partition each.
type store struct {
	mu     sync.Mutex
	topics map[string]*topic
	// era is sent in the header Store-Era; it is raised when the store is restored from a copy.
	era int
	// isDown makes the store answer 503, which says that nothing was done.
	isDown bool
	// delay is the time that each answer takes.
	delay time.Duration
}

type topic struct {
	records []record
	changed chan struct{}
}

type record struct {
	key   string
	value []byte
}

func newStore() *store {
	return &store{topics: map[string]*topic{}, era: 1, delay: 4 * time.Millisecond}
}

func (s *store) topic(name string) *topic {
	if s.topics[name] == nil {
		s.topics[name] = &topic{changed: make(chan struct{})}
	}
	return s.topics[name]
}

// put appends a record; an empty value drops the key.
func (s *store) put(name, key string, value []byte) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	t.records = append(t.records, record{key: key, value: value})
	close(t.changed)
	t.changed = make(chan struct{})
	return len(t.records)
}

func (s *store) setDown(isDown bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isDown = isDown
}

// length returns the number of records of each topic: a copy of the store.
func (s *store) copyLengths() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	lengths := map[string]int{}
	for name, t := range s.topics {
		lengths[name] = len(t.records)
	}
	return lengths
}

// restore brings the store back from a copy: what was written since is gone, and the era rises by one.
func (s *store) restore(lengths map[string]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	for name, t := range s.topics {
		t.records = t.records[:lengths[name]:lengths[name]]
		close(t.changed)
		t.changed = make(chan struct{})
	}
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	isDown, delay, era := s.isDown, s.delay, s.era
	s.mu.Unlock()
	time.Sleep(delay)
	w.Header().Set("Store-Era", strconv.Itoa(era))
	if isDown {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch r.URL.Path {
	case "/v1/log-read":
		s.read(w, r)
	case "/v1/log-newest":
		s.newest(w, r)
	case "/v1/log-append":
		s.appendRecords(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.Atoi(r.FormValue("from"))
	wait, _ := strconv.Atoi(r.FormValue("wait_ms"))
	s.mu.Lock()
	t := s.topic(r.FormValue("topic"))
	changed := t.changed
	if from == len(t.records) && wait > 0 {
		s.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
		s.mu.Lock()
	}
	defer s.mu.Unlock()
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	if s.isDown {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if from > len(t.records) {
		w.WriteHeader(http.StatusGone)
		_, _ = io.WriteString(w, `{"first":0}`)
		return
	}
	body := binary.BigEndian.AppendUint64(nil, uint64(len(t.records)))
	body = binary.BigEndian.AppendUint64(body, 0)
	for _, each := range t.records[from:] {
		body = binary.BigEndian.AppendUint32(body, uint32(1+len(each.key)+len(each.value)))
		body = append(body, byte(len(each.key)))
		body = append(body, each.key...)
		body = append(body, each.value...)
	}
	_, _ = w.Write(body)
}

func (s *store) newest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(r.FormValue("topic"))
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int    `json:"offset"`
	}
	last := map[string]int{}
	for offset, each := range t.records {
		last[each.key] = offset
	}
	items := []item{}
	for offset, each := range t.records {
		if last[each.key] == offset && len(each.value) > 0 && r.FormValue("after") == "" {
			items = append(items, item{Key: each.key, Value: each.value, Offset: offset})
		}
	}
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "has_more": false, "end": len(t.records)})
}

func (s *store) appendRecords(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	name := r.FormValue("topic")
	if err != nil || name == "keyed.op" || name == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	end := 0
	for len(body) >= 5 {
		size := int(binary.BigEndian.Uint32(body))
		key := int(body[4])
		end = s.put(name, string(body[5:5+key]), append([]byte(nil), body[5+key:4+size]...))
		body = body[4+size:]
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]int{"offset": end - 1, "end": end})
}
