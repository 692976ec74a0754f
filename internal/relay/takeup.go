package relay

import (
	"github.com/sirupsen/logrus"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
)

// maxLoggedIDBytes bounds an ID in a log line that a caller chose.
const maxLoggedIDBytes = 64

// lastEventID returns the ID of the last event that the caller received, empty if it takes no stream up.
func (r *Request) lastEventID() string {
	if r.TakeUp == nil {
		return ""
	}
	return r.TakeUp.LastEventID
}

// resumes returns the ID of the request that began the stream that the caller takes up, empty if it is not known.
func (r *Request) resumes() string {
	if r.TakeUp == nil {
		return ""
	}
	return r.TakeUp.Resumes
}

// loggedID returns the beginning of an ID for a log line.
func loggedID(id string) string { return id[:min(len(id), maxLoggedIDBytes)] }

// logTakeUp logs what a call states of the stream that its caller takes up.
func (r *Relay) logTakeUp(x *exchange, to *configuration.Endpoint, call *Call) {
	if x.request.TakeUp == nil {
		return
	}
	r.decide(x, "stream asked for", logrus.Fields{
		"endpoint": to.Name, "last_event": loggedID(x.request.lastEventID()), "resumes": loggedID(x.request.resumes()),
		"call_last_event": loggedID(call.LastEventID),
	})
}
