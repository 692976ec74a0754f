package origin

import (
	"context"
	"sync"
	"time"

	"github.com/ospreyshed/ospreyshed/internal/background"
	"github.com/ospreyshed/ospreyshed/internal/cooldown"
)

const (
	// readPeriod is the least time between two reads of the archive by a VM.
	readPeriod = 200 * time.Millisecond
	// readTimeout bounds a read of all that was appended since the last one. It may take
	// longer than the caller waits; a later one finds its result.
	readTimeout = 15 * time.Second
	// maxRead bounds the records in memory that were read from the archive. Callers take a
	// stream up within 14 s of its begin; at 1,200 streams a second these are 17,000.
	maxRead = 32 << 10
)

// readPauses bound the pauses between reads of the archive after failures.
var readPauses = cooldown.Bounds{First: readPeriod, Longest: 2 * time.Second}

// readRecord is a record that was read from the archive.
type readRecord struct {
	Origin
	// conflict is set if the archive has two builds of the same revision.
	conflict bool
	expires  time.Duration
}

// archiveReader looks records up in the archive. It reads the archive only when a record is
// looked up that it has not read, and then what was appended since.
type archiveReader struct {
	service *Service

	mu sync.Mutex
	// era and next are the position of the next read.
	era, next uint64
	records   map[string]readRecord
	// order are the streams of the records in the order in which they were read.
	order []string
	// started and finished are the numbers of reads that began and ended; one is under way if
	// they differ. err is the outcome of the last one.
	started, finished uint64
	err               error
	// began is the time at which the last read began.
	began    time.Time
	failures cooldown.Cooldown
	// changed is closed and replaced when records were added or a read has ended.
	changed chan struct{}
}

func newArchiveReader(service *Service) *archiveReader {
	return &archiveReader{service: service, records: make(map[string]readRecord), changed: make(chan struct{})}
}

// FindArchived returns the record of a stream in the archive. The error is Unknown if it has
// none, or two of the same revision that contradict each other, and Incomplete if it could not
// be read or ctx ends.
func (s *Service) FindArchived(ctx context.Context, stream string) (Origin, error) {
	if s.params.Archive == nil {
		return Origin{}, Unknown.New("stream %s: there is no archive", stream)
	}
	found, err := s.reader.find(ctx, stream)
	if err == nil {
		s.counters.FoundInArchive.Add(1)
	} else {
		s.counters.NotInArchive.Add(1)
	}
	return found, err
}

// find waits for a read that begins after the call, unless the record was read already.
func (r *archiveReader) find(ctx context.Context, stream string) (Origin, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for want := r.started + 1; ; {
		if known, ok := r.records[stream]; ok && known.expires > r.service.now() {
			if known.conflict {
				return Origin{}, Unknown.New("stream %s: the archive has two builds of revision %d", stream, known.Revision)
			}
			return known.Origin, nil
		}
		if r.finished >= want {
			return Origin{}, r.outcome(stream)
		}
		if r.started == r.finished && !r.begin() {
			return Origin{}, r.outcome(stream)
		}
		changed := r.changed
		r.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-changed:
		}
		r.mu.Lock()
		if ctx.Err() != nil {
			return Origin{}, Incomplete.Wrap(ctx.Err(), "stream %s: the archive was not read in time", stream)
		}
	}
}

// outcome returns the error for a record that was not found. The lock must be held.
func (r *archiveReader) outcome(stream string) error {
	if r.err != nil {
		return Incomplete.Wrap(r.err, "stream %s: the archive was not read", stream)
	}
	return Unknown.New("stream %s: the archive has no record", stream)
}

// begin begins a read, unless the last one failed a moment ago or this VM stops. The lock must
// be held.
func (r *archiveReader) begin() bool {
	s := r.service
	now := s.params.Clock()
	if !r.failures.Over(now) {
		return false
	}
	pause := r.began.Add(readPeriod).Sub(now)
	s.mu.Lock()
	started := s.start(func() { r.read(pause) })
	s.mu.Unlock()
	if !started {
		r.err = NotArchived.New("this VM stops")
		return false
	}
	r.started++
	r.began = now.Add(max(0, pause))
	return true
}

// read reads what was appended since the last read.
func (r *archiveReader) read(pause time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	go func() {
		select {
		case <-ctx.Done():
		case <-r.service.stopping:
			cancel()
		}
	}()
	background.Pause(ctx, pause)
	err := r.readPages(ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.finished, r.err = r.started, err
	if err != nil {
		r.service.counters.ArchiveReadsFailed.Add(1)
		r.failures.Extend(r.service.params.Clock(), readPauses)
	} else {
		r.failures = cooldown.Cooldown{}
	}
	r.signal()
}

func (r *archiveReader) signal() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// readPages reads up to the end that the first page names. A page of a later era begins anew,
// since its offsets do not continue those of the former one.
func (r *archiveReader) readPages(ctx context.Context) error {
	r.mu.Lock()
	era, next := r.era, r.next
	r.mu.Unlock()
	for {
		r.service.counters.ArchiveReads.Add(1)
		page, err := r.service.params.Archive.Read(ctx, next)
		if err != nil {
			return err
		}
		if page.Era != era {
			era = page.Era
			if next != 0 {
				next = 0
				continue
			}
		}
		r.add(&page)
		if page.Next <= next || page.Next >= page.End {
			return nil
		}
		next = page.Next
	}
}

// add adds the records of a page and notes its end as the position of the next read.
func (r *archiveReader) add(page *ArchivePage) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now, wall := r.service.now(), time.Now()
	for i := range page.Batches {
		batch := &page.Batches[i]
		// A batch from the future was appended by a VM whose clock is ahead.
		age := max(0, wall.Sub(batch.At))
		if age >= maxArchivedAge {
			continue
		}
		for j := range batch.Origins {
			r.put(&batch.Origins[j], now+maxArchivedAge-age)
		}
	}
	r.era, r.next = page.Era, page.Next
	r.signal()
}

// put adds a record or merges it with the known one: the higher revision wins, whatever the
// order of the appends.
func (r *archiveReader) put(o *Origin, expires time.Duration) {
	if !o.valid() {
		r.service.counters.Rejected.Add(1)
		return
	}
	known, ok := r.records[o.Stream]
	switch {
	case !ok:
		r.order = append(r.order, o.Stream)
	case o.Revision < known.Revision:
		return
	case o.Revision == known.Revision && o.Build != known.Build:
		r.service.counters.Conflicts.Add(1)
		known.conflict = true
		r.records[o.Stream] = known
		return
	case o.Revision == known.Revision:
		known.expires = max(known.expires, expires)
		r.records[o.Stream] = known
		return
	}
	r.records[o.Stream] = readRecord{Origin: *o, expires: expires}
	if len(r.order) > maxRead {
		delete(r.records, r.order[0])
		r.order = r.order[1:]
	}
}

// expire drops all records once none was read for longer than they are used. What follows the
// position is read again when a record is looked up.
func (r *archiveReader) expire() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.started == r.finished && len(r.order) > 0 && r.service.params.Clock().Sub(r.began) >= maxArchivedAge {
		r.records, r.order = make(map[string]readRecord), nil
	}
}
