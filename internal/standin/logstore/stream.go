package logstore

import (
	"time"

	"github.com/ospreyshed/ospreyshed/internal/platform/logservice"
)

// stream holds the retained records of one stream.
type stream struct {
	// first is the offset of the first retained record.
	first   uint64
	records []logservice.Record
	// changed is closed and replaced by each append.
	changed chan struct{}
}

func (s *stream) next() uint64 { return s.first + uint64(len(s.records)) }

func (s *stream) append(now time.Time, entries []logservice.Entry) uint64 {
	first := s.next()
	for i, entry := range entries {
		s.records = append(s.records, logservice.Record{Offset: first + uint64(i), Time: now, Entry: entry})
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return first
}

// expire drops the records that are older than the retention.
func (s *stream) expire(now time.Time, retention time.Duration) {
	if retention <= 0 {
		return
	}
	oldest := now.Add(-retention)
	expired := 0
	for expired < len(s.records) && s.records[expired].Time.Before(oldest) {
		expired++
	}
	s.first += uint64(expired)
	s.records = s.records[expired:]
}

func (s *stream) page(from uint64, limit int) logservice.Page {
	page := logservice.Page{FirstOffset: s.first, NextOffset: s.next()}
	start := max(from, s.first)
	if start >= s.next() {
		return page
	}
	end := min(start+uint64(limit), s.next())
	page.Records = append(page.Records, s.records[start-s.first:end-s.first]...)
	return page
}
