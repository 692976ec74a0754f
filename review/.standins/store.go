package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in for the platform's store with one partition per topic.
type store struct {
	address string

	mu     sync.Mutex
	topics map[string][][]byte
	// downTopics are the topics whose partition is down: their calls get 503.
	downTopics map[string]bool
	// down makes all calls get 503.
	down bool
	// era is the value of Store-Era.
	era int
}

func startStore() *store {
	s := &store{topics: make(map[string][][]byte), downTopics: make(map[string]bool), era: 1}
	listener := listen("127.0.0.1:0")
	s.address = listener.Addr().String()
	go func() { _ = http.Serve(listener, s) }()
	return s
}

func listen(address string) net.Listener {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		cannotRun("listen: %v", err)
	}
	return listener
}

// put writes a record of a keyed topic, as the operator and the servers do.
func (s *store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics[topic] = append(s.topics[topic], keyed(key, value))
}

func keyed(key string, value []byte) []byte {
	return append(append([]byte{byte(len(key))}, key...), value...)
}

func (s *store) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

func (s *store) end(topic string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.topics[topic])
}

// newest returns the newest value of a key.
func (s *store) newest(topic, key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	value := ""
	for _, record := range s.topics[topic] {
		if n := int(record[0]); string(record[1:1+n]) == key {
			value = string(record[1+n:])
		}
	}
	return value
}

func (s *store) isDown(topic string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down || s.downTopics[topic]
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	topic := query.Get("topic")
	from, _ := strconv.Atoi(query.Get("from"))
	if wait, _ := strconv.Atoi(query.Get("waitMs")); wait > 0 {
		until := time.Now().Add(time.Duration(wait) * time.Millisecond)
		for time.Now().Before(until) && s.end(topic) == from && !s.isDown(topic) && r.Context().Err() == nil {
			time.Sleep(5 * time.Millisecond)
		}
	}
	body, _ := io.ReadAll(r.Body)
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	if s.down || s.downTopics[topic] {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	records := s.topics[topic]
	switch r.URL.Path {
	case "/-/log-append":
		if topic == "keyed.op" || topic == "keyed.servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if at := query.Get("at"); at != "" && at != strconv.Itoa(len(records)) {
			w.WriteHeader(http.StatusPreconditionFailed)
			answer(w, map[string]any{"end": len(records)})
			return
		}
		offset := len(records)
		for len(body) >= 4 {
			n := int(binary.BigEndian.Uint32(body))
			records = append(records, body[4:4+n])
			body = body[4+n:]
		}
		s.topics[topic] = records
		answer(w, map[string]any{"offset": offset, "end": len(records)})
	case "/-/log-read":
		if from > len(records) {
			w.WriteHeader(http.StatusGone)
			answer(w, map[string]any{"first": 0})
			return
		}
		out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
		out = binary.BigEndian.AppendUint64(out, 0)
		for _, record := range records[from:] {
			out = append(binary.BigEndian.AppendUint32(out, uint32(len(record))), record...)
		}
		_, _ = w.Write(out)
	case "/-/log-newest":
		newest, offsets := make(map[string][]byte), make(map[string]int)
		for i, record := range records {
			n := int(record[0])
			key := string(record[1 : 1+n])
			newest[key], offsets[key] = record[1+n:], i
		}
		items := []map[string]any{}
		for _, key := range slices.Sorted(maps.Keys(newest)) {
			if len(newest[key]) > 0 && key > query.Get("after") {
				items = append(items, map[string]any{"key": key, "value": newest[key], "offset": offsets[key]})
			}
		}
		answer(w, map[string]any{"items": items, "more": false, "end": len(records)})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func answer(w http.ResponseWriter, value any) { _ = json.NewEncoder(w).Encode(value) }
