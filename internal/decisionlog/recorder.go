package decisionlog

import (
	"github.com/sirupsen/logrus"

	"github.com/ospreyshed/ospreyshed/internal/timeline"
)

// Recorder records timeline events and also writes them to the log.
type Recorder struct {
	Ring *timeline.Ring
	Log  *Log
}

// Record implements timeline.Recorder.
func (r Recorder) Record(kind timeline.Kind, request, detail string) {
	r.Ring.Record(kind, request, detail)
	fields := logrus.Fields{"detail": detail}
	if request != "" {
		fields["request"] = request
		r.Log.Decide(string(kind), fields)
		return
	}
	r.Log.Change(string(kind), fields)
}
