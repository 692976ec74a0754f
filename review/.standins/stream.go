package main

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// event is an event of a stream: its number and the text of which it is a part.
type event struct {
	number int
	text   string
}

// stream is what a caller read of one stream, over all its requests.
type stream struct {
	origin string
	events []event
	// complete is set if the last answer ended in order.
	complete bool
	statuses []string
	// retryAfter is the Retry-After of the last answer.
	retryAfter time.Duration
	// unreachable is set if the last request got no answer.
	unreachable bool
}

func (t *stream) last() int {
	if len(t.events) == 0 {
		return 0
	}
	return t.events[len(t.events)-1].number
}

// read sends a request for the stream, or for its rest, and reads the answer to its end.
func (s *site) read(c *caller, v *vm, r request, t *stream) {
	t.complete, t.retryAfter, t.unreachable = false, 0, false
	if t.last() > 0 {
		r.resumes, r.last = t.origin, t.last()
	} else {
		t.origin = r.id
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(r.deadlineMs)*time.Millisecond)
	defer cancel()
	s.record.add("sent %s to %s: POST %s, Resumes %q, Last-Event-Id %d", r.id, v.name, r.path, r.resumes, r.last)
	response, err := c.client.Do(s.newRequest(v, r).WithContext(ctx))
	if err != nil {
		t.unreachable = true
		t.statuses = append(t.statuses, "no answer")
		s.record.add("answered %s: none (%v)", r.id, err)
		return
	}
	defer func() { _ = response.Body.Close() }()
	t.statuses = append(t.statuses, strconv.Itoa(response.StatusCode))
	if response.StatusCode != http.StatusOK {
		after, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		t.retryAfter = time.Duration(after * float64(time.Second))
		s.record.add("answered %s: %d, Retry-After %q", r.id, response.StatusCode, response.Header.Get("Retry-After"))
		return
	}
	lines := bufio.NewScanner(response.Body)
	number, first := 0, 0
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), ": ")
		switch name {
		case "id":
			number, _ = strconv.Atoi(value)
		case "data":
			if first == 0 {
				first = number
			}
			t.events = append(t.events, event{number, value})
		}
	}
	t.complete = lines.Err() == nil
	s.record.add("answered %s: 200, stamp %s, events %d to %d, complete %v (%v)", r.id, response.Header.Get("X-Response-Stamp"), first, t.last(), t.complete, lines.Err())
}

// follow reads a stream, and takes it up at another VM when it has broken off. It waits as Retry-After says, up to a
// third of the time left.
func (s *site) follow(id string, at, next *vm, r request, deadline time.Duration) *stream {
	t := &stream{}
	until := time.Now().Add(deadline)
	r.deadlineMs = int(deadline.Milliseconds())
	r.id = id
	s.read(newCaller(), at, r, t)
	for n := 1; n <= 5 && !t.complete && t.last() < streamEvents && time.Until(until) > time.Second; n++ {
		pause := 100 * time.Millisecond
		if t.unreachable {
			pause = time.Second
		}
		time.Sleep(max(pause, min(t.retryAfter, time.Until(until)/3)))
		r.id, r.deadlineMs = fmt.Sprintf("%s-%d", id, n), int(time.Until(until).Milliseconds())
		s.read(newCaller(), next, r, t)
	}
	return t
}

// check returns how the rule ORDER is broken: events missing, repeated or parts of different texts.
func (t *stream) check() string {
	for i, e := range t.events {
		if e.number != i+1 {
			return fmt.Sprintf("ORDER: stream %s has event %d where %d is due", t.origin, e.number, i+1)
		}
		if e.text != t.events[0].text {
			return fmt.Sprintf("ORDER: stream %s is joined: %q up to event %d, %q from event %d on; answers %v, complete %v",
				t.origin, t.events[0].text, i, e.text, e.number, t.statuses, t.complete)
		}
	}
	if t.complete && t.last() < streamEvents {
		return fmt.Sprintf("ORDER: stream %s ended as complete after event %d of %d", t.origin, t.last(), streamEvents)
	}
	return ""
}

// all runs a function for each number from 0 on at the same time and returns what it found.
func all(n int, run func(i int) string) (found []string) {
	var running sync.WaitGroup
	var mu sync.Mutex
	for i := range n {
		running.Go(func() {
			if text := run(i); text != "" {
				mu.Lock()
				defer mu.Unlock()
				found = append(found, text)
			}
		})
	}
	running.Wait()
	return found
}
