package main

import (
	"encoding/binary"
	"encoding/json"
	"flag"
	"io"
	"log"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// heartbeat is the interval of the engines' registrations. An entry that is silent for three of
	// them is removed.
	heartbeat = 1200 * time.Millisecond
	entryLife = 3 * heartbeat
	// serversTopic holds the registrations.
	serversTopic = "keyed.servers"
	maxWait      = 30 * time.Second
)

// storedRecord is one record of a partition.
type storedRecord struct {
	at    time.Time
	value []byte
}

// partition is one partition of a topic.
type partition struct {
	first   uint64
	records []storedRecord
}

func (p *partition) end() uint64 { return p.first + uint64(len(p.records)) }

// logStore is a stand-in of the platform's store: a log with topics and keyed topics, and the drill
// in which it comes back from an older copy of itself.
type logStore struct {
	mu      sync.Mutex
	era     uint64
	away    bool
	topics  map[string]*partition
	beats   map[string]time.Time
	changed chan struct{}
}

func (s *logStore) partition(r *http.Request) *partition {
	return s.named(r.URL.Query().Get("topic") + "/" + r.URL.Query().Get("part"))
}

func (s *logStore) named(name string) *partition {
	p := s.topics[name]
	if p == nil {
		p = &partition{}
		s.topics[name] = p
	}
	return p
}

func (s *logStore) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func keyedRecord(key string, value []byte) []byte {
	return append(append([]byte{byte(len(key))}, key...), value...)
}

func runStore(args []string) {
	flags := flag.NewFlagSet("store", flag.ExitOnError)
	address := flags.String("address", "", "listen address")
	_ = flags.Parse(args)
	s := &logStore{era: 1, topics: map[string]*partition{}, beats: map[string]time.Time{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/log-append", s.append)
	mux.HandleFunc("GET /-/log-read", s.read)
	mux.HandleFunc("GET /-/log-newest", s.newest)
	mux.HandleFunc("POST /-/log-trim", s.trim)
	// The calls below are those of the engines, the operator and the script.
	mux.HandleFunc("POST /standin/put", s.put)
	mux.HandleFunc("POST /standin/away", s.setAway)
	go s.expire()
	listener, err := net.Listen("tcp", *address)
	if err != nil {
		log.Fatal(err)
	}
	log.Fatal(http.Serve(listener, s.gate(mux)))
}

// gate names the era in all answers, and resets the connections while the store is away.
func (s *logStore) gate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		era, away := s.era, s.away
		s.mu.Unlock()
		if away && !strings.HasPrefix(r.URL.Path, "/standin/away") {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Store-Era", strconv.FormatUint(era, 10))
		next.ServeHTTP(w, r)
	})
}

func (s *logStore) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	topic := r.URL.Query().Get("topic")
	if topic == serversTopic || topic == "keyed.op" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	time.Sleep(2 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nameEra(w)
	p := s.partition(r)
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.FormatUint(p.end(), 10) {
		answer(w, http.StatusPreconditionFailed, map[string]any{"end": p.end()})
		return
	}
	offset := p.end()
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		if n > len(body)-4 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		p.records = append(p.records, storedRecord{time.Now(), body[4 : 4+n]})
		body = body[4+n:]
	}
	s.signal()
	answer(w, http.StatusOK, map[string]any{"offset": offset, "end": p.end()})
}

func (s *logStore) read(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	deadline := time.NewTimer(min(maxWait, time.Duration(wait)*time.Millisecond))
	defer deadline.Stop()
	for waiting := true; ; {
		s.mu.Lock()
		p, changed := s.partition(r), s.changed
		if s.away {
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		s.nameEra(w)
		switch {
		case from < p.first || from > p.end():
			answer(w, http.StatusGone, map[string]any{"first": p.first})
			s.mu.Unlock()
			return
		case from < p.end() || !waiting:
			body := binary.BigEndian.AppendUint64(nil, p.end())
			body = binary.BigEndian.AppendUint64(body, p.first)
			for _, record := range p.records[from-p.first:] {
				body = binary.BigEndian.AppendUint32(body, uint32(len(record.value)))
				body = append(body, record.value...)
			}
			s.mu.Unlock()
			_, _ = w.Write(body)
			return
		}
		s.mu.Unlock()
		select {
		case <-r.Context().Done():
			return
		case <-deadline.C:
			waiting = false
		case <-changed:
		}
	}
}

func (s *logStore) newest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nameEra(w)
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset uint64 `json:"offset"`
	}
	p := s.partition(r)
	newest := map[string]item{}
	var keys []string
	for i, record := range p.records {
		n := int(record.value[0])
		key, value := string(record.value[1:1+n]), record.value[1+n:]
		if _, known := newest[key]; !known {
			keys = append(keys, key)
		}
		newest[key] = item{key, value, p.first + uint64(i)}
	}
	items := []item{}
	for _, key := range keys {
		if len(newest[key].Value) > 0 {
			items = append(items, newest[key])
		}
	}
	answer(w, http.StatusOK, map[string]any{"items": items, "more": false, "end": p.end()})
}

// nameEra names the era, or breaks the call off if the store is away. The lock must be held.
func (s *logStore) nameEra(w http.ResponseWriter) {
	if s.away {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
}

// trim deletes the records of a partition before an offset.
func (s *logStore) trim(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Topic  string
		Part   int
		Before uint64
	}
	if json.NewDecoder(r.Body).Decode(&call) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nameEra(w)
	p := s.named(call.Topic + "/" + strconv.Itoa(call.Part))
	if before := min(call.Before, p.end()); before > p.first {
		p.records, p.first = p.records[before-p.first:], before
	}
	w.WriteHeader(http.StatusOK)
}

// put stores a record of an engine or of the operator.
func (s *logStore) put(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	topic, key := r.URL.Query().Get("topic"), r.URL.Query().Get("key")
	p := s.named(topic + "/0")
	p.records = append(p.records, storedRecord{time.Now(), keyedRecord(key, value)})
	if topic == serversTopic && len(value) > 0 {
		s.beats[key] = time.Now()
	} else if topic == serversTopic {
		delete(s.beats, key)
	}
	s.signal()
	w.WriteHeader(http.StatusOK)
}

// setAway begins the drill, or ends it: the store comes back from a copy that is as old as given.
func (s *logStore) setAway(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = r.URL.Query().Get("away") == "1"
	if age, err := strconv.Atoi(r.URL.Query().Get("copyMs")); err == nil {
		lost := time.Now().Add(-time.Duration(age) * time.Millisecond)
		for _, p := range s.topics {
			for len(p.records) > 0 && p.records[len(p.records)-1].at.After(lost) {
				p.records = p.records[:len(p.records)-1]
			}
		}
		s.era++
	}
	s.signal()
	w.WriteHeader(http.StatusOK)
}

// expire removes the entries of engines that are silent.
func (s *logStore) expire() {
	for range time.Tick(100 * time.Millisecond) {
		s.mu.Lock()
		for key, at := range s.beats {
			if !s.away && time.Since(at) > entryLife {
				delete(s.beats, key)
				p := s.named(serversTopic + "/0")
				p.records = append(p.records, storedRecord{time.Now(), keyedRecord(key, nil)})
				s.signal()
			}
		}
		s.mu.Unlock()
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(encoded)
}
