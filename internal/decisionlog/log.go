// Package decisionlog writes one structured line for each decision about a request
// and for each change in the state of the process or in its view of the system.
// Callers never block: lines that exceed the rate limit or the speed of the output
// are dropped and counted.
package decisionlog

import (
	"expvar"
	"io"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"
)

const (
	// linesPerSecond and lineBurst limit the lines about requests. At a few
	// microseconds per line they use at most one percent of a small VM's CPU.
	linesPerSecond = 600
	lineBurst      = 1200
	// queuedLines is the capacity of the queue of lines to be written.
	queuedLines = 2048
	// reportPeriod is the time between two reports of dropped lines.
	reportPeriod = 5 * time.Second
)

// Log writes lines to an output in the background. It is safe for concurrent use.
type Log struct {
	logger  logrus.FieldLogger
	limit   *rate.Limiter
	lines   chan []byte
	dropped atomic.Int64
	written atomic.Int64
	stop    chan struct{}
	stopped chan struct{}
}

// New returns a log that writes JSON lines to an output. Each line carries the
// given fields.
func New(output io.Writer, fields logrus.Fields) *Log {
	l := &Log{
		limit:   rate.NewLimiter(linesPerSecond, lineBurst),
		lines:   make(chan []byte, queuedLines),
		stop:    make(chan struct{}),
		stopped: make(chan struct{}),
	}
	logger := logrus.New()
	logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	logger.SetOutput(queue{l})
	l.logger = logger.WithFields(fields)
	go l.write(output)
	return l
}

// Discard returns a log that drops all lines.
func Discard() *Log { return New(io.Discard, nil) }

// Decide logs a decision about a request. It drops lines above the rate limit.
func (l *Log) Decide(outcome string, fields logrus.Fields) {
	if !l.limit.Allow() {
		l.dropped.Add(1)
		return
	}
	l.logger.WithFields(fields).Info(outcome)
}

// Change logs a change in the state of the process or in its view of the system.
// The rate limit does not apply.
func (l *Log) Change(outcome string, fields logrus.Fields) {
	l.logger.WithFields(fields).Warn(outcome)
}

// Dropped returns the number of lines that were dropped.
func (l *Log) Dropped() int64 { return l.dropped.Load() }

// Written returns the number of lines that were written.
func (l *Log) Written() int64 { return l.written.Load() }

// Vars returns the numbers of lines written and dropped.
func (l *Log) Vars() *expvar.Map {
	values := new(expvar.Map)
	values.Set("written", expvar.Func(func() any { return l.Written() }))
	values.Set("dropped", expvar.Func(func() any { return l.Dropped() }))
	return values
}

// Close writes the queued lines and stops the log.
func (l *Log) Close() {
	close(l.stop)
	<-l.stopped
}

// write writes queued lines to the output until Close is called.
func (l *Log) write(output io.Writer) {
	defer close(l.stopped)
	ticker := time.NewTicker(reportPeriod)
	defer ticker.Stop()
	var reported int64
	for {
		select {
		case line := <-l.lines:
			l.writeLine(output, line)
		case <-ticker.C:
			if dropped := l.dropped.Load(); dropped != reported {
				reported = dropped
				l.Change("log lines dropped", logrus.Fields{"total": dropped})
			}
		case <-l.stop:
			l.drain(output)
			return
		}
	}
}

func (l *Log) drain(output io.Writer) {
	for {
		select {
		case line := <-l.lines:
			l.writeLine(output, line)
		default:
			return
		}
	}
}

// writeLine writes a line. A failed write only counts as a dropped line, since there
// is no other place to report it.
func (l *Log) writeLine(output io.Writer, line []byte) {
	if _, err := output.Write(line); err != nil {
		l.dropped.Add(1)
		return
	}
	l.written.Add(1)
}

// queue is the output of the logger. It copies each line, since the logger reuses
// the buffer.
type queue struct{ log *Log }

// Write implements io.Writer. It never blocks and never fails.
func (q queue) Write(line []byte) (int, error) {
	select {
	case q.log.lines <- append([]byte(nil), line...):
	default:
		q.log.dropped.Add(1)
	}
	return len(line), nil
}
