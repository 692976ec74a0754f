package relay

// batch is the outcome of one read of a stream: complete events or the end.
type batch struct {
	// events are valid until the next call of eventPump.resume.
	events []byte
	// firstID and lastID are the IDs of the first and the last event.
	firstID, lastID string
	count           int
	// err is set at the end of the stream, where there are no events.
	err error
}

// eventPump reads a stream in the background, so that its consumer can also wait for
// other things. It reads on only after the consumer has called resume.
type eventPump struct {
	batches chan batch
	resumed chan struct{}
	closing chan struct{}
	closed  chan struct{}
	// ended is set once the consumer has received the end of the stream.
	ended bool
}

func startEventPump(events *eventReader) *eventPump {
	p := &eventPump{
		batches: make(chan batch),
		resumed: make(chan struct{}),
		closing: make(chan struct{}),
		closed:  make(chan struct{}),
	}
	go p.run(events)
	return p
}

func (p *eventPump) run(events *eventReader) {
	defer close(p.closed)
	for {
		complete, err := events.next()
		select {
		case p.batches <- batch{events: complete, firstID: events.firstID, lastID: events.lastID, count: events.takeEventCount(), err: err}:
		case <-p.closing:
			return
		}
		if err != nil {
			return
		}
		select {
		case <-p.resumed:
		case <-p.closing:
			return
		}
	}
}

// resume lets the pump read on after a batch.
func (p *eventPump) resume() { p.resumed <- struct{}{} }

// close ends the pump. If the stream has not ended, abort is called to end a read that
// is in progress.
func (p *eventPump) close(abort func()) {
	close(p.closing)
	if !p.ended {
		abort()
	}
	<-p.closed
}
