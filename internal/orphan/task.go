package orphan

import (
	"container/heap"
	"time"
)

const (
	// initialDelay and maxDelay limit the delay between two attempts of a
	// cancel; it doubles with each failure.
	initialDelay = 100 * time.Millisecond
	maxDelay     = 15 * time.Second
	// maxRetryDuration is how long a cancel is retried.
	maxRetryDuration = 10 * time.Minute
)

// taskKey identifies a task.
type taskKey struct {
	process processID
	engine  string
}

// task is the cancel of one process on one engine.
type task struct {
	taskKey
	remote   bool
	started  time.Time
	due      time.Time
	failures int
}

// scheduleRetry schedules the next attempt. It returns false if the task has
// been retried for maxRetryDuration.
func (t *task) scheduleRetry(now time.Time) bool {
	t.due = now.Add(delayAfter(t.failures))
	t.failures++
	return now.Sub(t.started) < maxRetryDuration
}

// delayAfter returns the delay after a number of earlier failures.
func delayAfter(failures int) time.Duration {
	const maxDoublings = 16
	return min(initialDelay<<min(failures, maxDoublings), maxDelay)
}

// queue holds tasks ordered by the time at which they are due. A task that was
// popped stays in byKey until it is dropped.
type queue struct {
	tasks []*task
	byKey map[taskKey]*task
}

func newQueue() *queue { return &queue{byKey: make(map[taskKey]*task)} }

// add adds a task unless one with its key is known.
func (q *queue) add(t *task) bool {
	if _, ok := q.byKey[t.taskKey]; ok {
		return false
	}
	q.byKey[t.taskKey] = t
	heap.Push(q, t)
	return true
}

// popDue removes and returns the first task that is due, nil if there is none.
// The task stays known until it is dropped.
func (q *queue) popDue(now time.Time) *task {
	if len(q.tasks) == 0 || q.tasks[0].due.After(now) {
		return nil
	}
	return heap.Pop(q).(*task)
}

// putBack returns a popped task to the queue.
func (q *queue) putBack(t *task) { heap.Push(q, t) }

// drop removes a popped task from the known ones.
func (q *queue) drop(t *task) { delete(q.byKey, t.taskKey) }

// untilDue returns the time until the first task is due, at most the limit.
func (q *queue) untilDue(now time.Time, limit time.Duration) time.Duration {
	if len(q.tasks) == 0 {
		return limit
	}
	return max(0, min(limit, q.tasks[0].due.Sub(now)))
}

// Len implements heap.Interface.
func (q *queue) Len() int { return len(q.tasks) }

// Less implements heap.Interface.
func (q *queue) Less(i, j int) bool { return q.tasks[i].due.Before(q.tasks[j].due) }

// Swap implements heap.Interface.
func (q *queue) Swap(i, j int) { q.tasks[i], q.tasks[j] = q.tasks[j], q.tasks[i] }

// Push implements heap.Interface.
func (q *queue) Push(t any) { q.tasks = append(q.tasks, t.(*task)) }

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	last := len(q.tasks) - 1
	t := q.tasks[last]
	q.tasks = q.tasks[:last]
	return t
}
