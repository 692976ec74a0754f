// Package decisionlog writes one structured line for each decision that touches
// a request or changes what the process believes. Writers never wait: lines
// beyond a rate or beyond what the output takes are dropped and counted.
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
	// linesPerSecond and lineBurst bound the lines about requests. At a few
	// microseconds each they stay within one percent of a small VM's processor.
	linesPerSecond = 600
	lineBurst      = 1200
	// queuedLines bounds the lines that wait for the output.
	queuedLines = 2048
	// reportPeriod is the time between two reports of dropped lines.
	reportPeriod = 5 * time.Second
)

// Log takes decisions. It is safe for concurrent use.
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

// Decide writes a line about a request, unless too many were written lately.
func (l *Log) Decide(outcome string, fields logrus.Fields) {
	if !l.limit.Allow() {
		l.dropped.Add(1)
		return
	}
	l.logger.WithFields(fields).Info(outcome)
}

// Change writes a line about the process itself or about what it believes.
func (l *Log) Change(outcome string, fields logrus.Fields) {
	l.logger.WithFields(fields).Warn(outcome)
}

// Dropped returns the number of lines that were dropped.
func (l *Log) Dropped() int64 { return l.dropped.Load() }

// Written returns the number of lines that were written.
func (l *Log) Written() int64 { return l.written.Load() }

// Vars publishes the counts of lines.
func (l *Log) Vars() *expvar.Map {
	values := new(expvar.Map)
	values.Set("written", expvar.Func(func() any { return l.Written() }))
	values.Set("dropped", expvar.Func(func() any { return l.Dropped() }))
	return values
}

// Close writes the lines that wait.
func (l *Log) Close() {
	close(l.stop)
	<-l.stopped
}

// write moves lines to the output.
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

// writeLine writes a line. There is nowhere to report that the output is gone but the
// count of dropped lines.
func (l *Log) writeLine(output io.Writer, line []byte) {
	if _, err := output.Write(line); err != nil {
		l.dropped.Add(1)
		return
	}
	l.written.Add(1)
}

// queue is the output of the logger. It copies a line, whose bytes the logger
// uses again.
type queue struct{ log *Log }

// Write implements io.Writer; it never waits and never fails.
func (q queue) Write(line []byte) (int, error) {
	select {
	case q.log.lines <- append([]byte(nil), line...):
	default:
		q.log.dropped.Add(1)
	}
	return len(line), nil
}
