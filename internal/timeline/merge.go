package timeline

import (
	"cmp"
	"container/heap"
	"slices"
	"strings"
)

// Concerns reports whether the event belongs to a request or to one of its attempts.
// The id of an attempt is the request's id followed by a dot and a suffix. The empty
// request id matches every event.
func (e *Event) Concerns(request string) bool {
	if request == "" || e.Request == request {
		return true
	}
	rest, ok := strings.CutPrefix(e.Request, request)
	return ok && rest[0] == '.'
}

// Filter returns the events that concern a request.
func Filter(events []Event, request string) []Event {
	var selected []Event
	for i := range events {
		if events[i].Concerns(request) {
			selected = append(selected, events[i])
		}
	}
	return selected
}

// Merge merges the events of several processes, ordered by wall clock. The events of
// one process stay in the order of their sequence numbers even if its wall clock was
// set back. Duplicate events are returned once.
func Merge(events []Event) []Event {
	queues := byProcess(events)
	heap.Init(&queues)
	merged := make([]Event, 0, len(events))
	for queues.Len() > 0 {
		queue := queues[0]
		merged = append(merged, queue[0])
		if len(queue) == 1 {
			heap.Pop(&queues)
			continue
		}
		queues[0] = queue[1:]
		heap.Fix(&queues, 0)
	}
	return merged
}

// byProcess groups events by process and sorts each group by sequence number.
func byProcess(events []Event) eventQueues {
	sorted := slices.Clone(events)
	slices.SortFunc(sorted, func(a, b Event) int {
		return cmp.Or(compareProcess(&a, &b), cmp.Compare(a.Sequence, b.Sequence))
	})
	sorted = slices.CompactFunc(sorted, func(a, b Event) bool {
		return compareProcess(&a, &b) == 0 && a.Sequence == b.Sequence
	})
	var queues eventQueues
	start := 0
	for i := range sorted {
		last := i == len(sorted)-1
		if last || compareProcess(&sorted[i], &sorted[i+1]) != 0 {
			queues = append(queues, sorted[start:i+1])
			start = i + 1
		}
	}
	return queues
}

func compareProcess(a, b *Event) int {
	return cmp.Or(cmp.Compare(a.VM, b.VM), cmp.Compare(a.Incarnation, b.Incarnation))
}

// eventQueues is a heap of non-empty queues, ordered by the wall clock time of their
// first event.
type eventQueues [][]Event

func (q eventQueues) Len() int { return len(q) }

func (q eventQueues) Less(i, j int) bool {
	a, b := &q[i][0], &q[j][0]
	return cmp.Or(a.Wall.Compare(b.Wall), compareProcess(a, b)) < 0
}

func (q eventQueues) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueues) Push(queue any) { *q = append(*q, queue.([]Event)) }

// Pop implements heap.Interface.
func (q *eventQueues) Pop() any {
	last := len(*q) - 1
	queue := (*q)[last]
	*q = (*q)[:last]
	return queue
}
