package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in for the platform's metadata store. Each topic has one partition; the newest records
// of keyed topics are kept.
type store struct {
	mu      sync.Mutex
	topics  map[string][][]byte
	changed chan struct{}
}

func newStore() *store {
	return &store{topics: make(map[string][][]byte), changed: make(chan struct{})}
}

// put appends a record to a keyed topic, as the operator and the servers do.
func (s *store) put(topic, key string, value []byte) {
	record := append([]byte{byte(len(key))}, key...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(topic, append(record, value...))
}

func (s *store) putJSON(topic, key string, value any) {
	raw, err := json.Marshal(value)
	check(err)
	s.put(topic, key, raw)
}

// add appends a record. The lock must be held.
func (s *store) add(topic string, record []byte) {
	s.topics[topic] = append(s.topics[topic], record)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Store-Era", "1")
	query := r.URL.Query()
	topic := query.Get("topic")
	switch r.URL.Path {
	case "/-/log-append":
		s.serveAppend(w, r, topic, query.Get("at"))
	case "/-/log-read":
		from, _ := strconv.Atoi(query.Get("from"))
		wait, _ := strconv.Atoi(query.Get("waitMs"))
		s.serveRead(w, r, topic, from, time.Duration(wait)*time.Millisecond)
	case "/-/log-newest":
		s.serveNewest(w, topic, query.Get("after"))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request, topic, at string) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	first := len(s.topics[topic])
	if at != "" && at != strconv.Itoa(first) {
		w.WriteHeader(http.StatusPreconditionFailed)
		_ = json.NewEncoder(w).Encode(map[string]int{"end": first})
		return
	}
	for len(body) >= 4 {
		length := int(binary.BigEndian.Uint32(body))
		s.add(topic, body[4:4+length])
		body = body[4+length:]
	}
	_ = json.NewEncoder(w).Encode(map[string]int{"offset": first, "end": len(s.topics[topic])})
}

// serveRead sends the records from an offset on, as soon as there is one.
func (s *store) serveRead(w http.ResponseWriter, r *http.Request, topic string, from int, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for expired := wait == 0; ; {
		s.mu.Lock()
		records, changed := s.topics[topic], s.changed
		s.mu.Unlock()
		if expired || from < len(records) {
			response := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
			response = binary.BigEndian.AppendUint64(response, 0)
			for _, record := range records[min(from, len(records)):] {
				response = binary.BigEndian.AppendUint32(response, uint32(len(record)))
				response = append(response, record...)
			}
			_, _ = w.Write(response)
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-timer.C:
			expired = true
		case <-changed:
		}
	}
}

// serveNewest sends a page of the newest records of the keys after a key.
func (s *store) serveNewest(w http.ResponseWriter, topic, after string) {
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int    `json:"offset"`
	}
	const pageSize = 500
	s.mu.Lock()
	defer s.mu.Unlock()
	newest := make(map[string]item)
	for offset, record := range s.topics[topic] {
		end := 1 + int(record[0])
		newest[string(record[1:end])] = item{string(record[1:end]), record[end:], offset}
	}
	items, more := []item{}, false
	for _, key := range slices.Sorted(maps.Keys(newest)) {
		if key <= after || len(newest[key].Value) == 0 {
			continue
		}
		if more = len(items) == pageSize; more {
			break
		}
		items = append(items, newest[key])
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "more": more, "end": len(s.topics[topic])})
}
