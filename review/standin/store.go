package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// storeDelay is the time that the store takes for an answer.
const storeDelay = 4 * time.Millisecond

// maxPageItems is the maximum number of items in one answer of log-newest.
const maxPageItems = 500

// defaultMaxKB is the size of the records that log-read returns at most unless the caller names another.
const defaultMaxKB = 1024

type storeRecord struct {
	key   string
	value []byte
}

type storeTopic struct {
	records []storeRecord
	newest  map[string]int
	keys    []string
	changed chan struct{}
}

// store is the stand-in for the platform's store: a log with keyed topics of one partition.
type store struct {
	address string
	mu      sync.Mutex
	topics  map[string]*storeTopic
}

func startStore(address string) (*store, error) {
	s := &store{address: address, topics: map[string]*storeTopic{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/log-read", s.read)
	mux.HandleFunc("GET /v1/log-newest", s.newest)
	mux.HandleFunc("POST /v1/log-append", s.append)
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	go http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(storeDelay)
		w.Header().Set("Store-Era", "1")
		mux.ServeHTTP(w, r)
	}))
	return s, nil
}

func (s *store) topic(name string) *storeTopic {
	t := s.topics[name]
	if t == nil {
		t = &storeTopic{newest: map[string]int{}, changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

// put appends a record; a nil value drops the key.
func (s *store) put(topic, key string, value []byte) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(topic)
	offset := len(t.records)
	t.records = append(t.records, storeRecord{key, value})
	if _, known := t.newest[key]; !known {
		t.keys = append(t.keys, key)
	}
	t.newest[key] = offset
	close(t.changed)
	t.changed = make(chan struct{})
	return offset
}

// size returns the size of the newest record of a key in bytes.
func (s *store) size(topic, key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(topic)
	return len(t.records[t.newest[key]].value)
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.Atoi(r.FormValue("from"))
	waitMS, _ := strconv.Atoi(r.FormValue("wait_ms"))
	maxKB, err := strconv.Atoi(r.FormValue("max_kb"))
	if err != nil {
		maxKB = defaultMaxKB
	}
	s.mu.Lock()
	t := s.topic(r.FormValue("topic"))
	if changed := t.changed; from >= len(t.records) && waitMS > 0 {
		s.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(waitMS) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
		s.mu.Lock()
	}
	defer s.mu.Unlock()
	if from > len(t.records) {
		w.WriteHeader(http.StatusGone)
		io.WriteString(w, `{"first":0}`)
		return
	}
	body := binary.BigEndian.AppendUint64(nil, uint64(len(t.records)))
	body = binary.BigEndian.AppendUint64(body, 0)
	for n, record := range t.records[from:] {
		if n > 0 && len(body)+len(record.value) > maxKB<<10 {
			break
		}
		body = binary.BigEndian.AppendUint32(body, uint32(1+len(record.key)+len(record.value)))
		body = append(body, byte(len(record.key)))
		body = append(body, record.key...)
		body = append(body, record.value...)
	}
	w.Write(body)
}

func (s *store) newest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(r.FormValue("topic"))
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	items, more := []item{}, false
	skip := r.FormValue("after") != ""
	for _, key := range t.keys {
		if skip {
			skip = key != r.FormValue("after")
			continue
		}
		offset := t.newest[key]
		if t.records[offset].value == nil {
			continue
		}
		if len(items) == maxPageItems {
			more = true
			break
		}
		items = append(items, item{key, base64.StdEncoding.EncodeToString(t.records[offset].value), offset})
	}
	json.NewEncoder(w).Encode(map[string]any{"items": items, "has_more": more, "end": len(t.records)})
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	topic := r.FormValue("topic")
	if topic == "keyed.op" || topic == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	first, end := -1, 0
	for len(body) >= 5 {
		size := int(binary.BigEndian.Uint32(body))
		record := body[4 : 4+size]
		body = body[4+size:]
		key, value := string(record[1:1+int(record[0])]), record[1+int(record[0]):]
		if len(value) == 0 {
			value = nil
		}
		offset := s.put(topic, key, value)
		if first < 0 {
			first = offset
		}
		end = offset + 1
	}
	json.NewEncoder(w).Encode(map[string]int{"offset": first, "end": end})
}
