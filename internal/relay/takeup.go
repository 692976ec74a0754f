package relay

import (
	"errors"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/ospreyshed/ospreyshed/internal/builds"
	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/routing"
)

var (
	// errOtherService means that another service may have begun the stream that a caller takes up.
	errOtherService = errors.New("the route leads to several services, or has led to another one")
	// errOtherBuild means that another build of the service may have begun it.
	errOtherBuild = errors.New("the service has had several builds within a minute")
	// errNoHistory means that changes of routes or builds may be missing here.
	errNoHistory = errors.New("this VM has not observed all changes of the last minute")
)

// PlainBuilds is what this VM has seen of the builds of services without engines. It is implemented by builds.History.
type PlainBuilds interface {
	// Several reports whether several builds of a service may have begun streams that are still taken up.
	Several(now time.Time, service string) bool
}

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

// logTakeUp logs what the header of a call states of the stream that its caller takes up.
func (r *Relay) logTakeUp(x *exchange, to *configuration.Endpoint, header http.Header) {
	if x.request.TakeUp == nil {
		return
	}
	r.decide(x, "stream asked for", logrus.Fields{
		"endpoint": to.Name, "last_event": loggedID(x.request.lastEventID()), "resumes": loggedID(x.request.resumes()),
		"call_last_event": loggedID(r.options.Dialect.LastEventID(header)),
	})
}

// tracePlain reports whether a request may be sent to its plain service as far as the stream is concerned that it takes
// up. There is no record of such streams, so that the route has to show which service began it, and the service must have
// one build. If not, the caller is refused.
func (r *Relay) tracePlain(x *exchange) bool {
	if x.request.TakeUp == nil || x.route.Kind != routing.Streaming || !x.route.Resumable {
		return true
	}
	refusal := Refusal{Reason: "the service that began the stream is not known"}
	obstacle := errOtherService
	switch {
	case !r.hasHistory():
		// Another VM may have the history.
		refusal.RetryAfter, obstacle = unansweredRetryAfter, errNoHistory
	case !r.plainOrigin(x):
	case r.options.PlainBuilds.Several(time.Now(), x.service.Name):
		refusal.Reason, obstacle = "the build that began the stream is not known", errOtherBuild
	default:
		return true
	}
	r.Counters.Untraced.Add(1)
	r.decide(x, "stream not traced", logrus.Fields{
		"stream": loggedID(x.request.resumes()), "last_event": loggedID(x.request.lastEventID()), "error": obstacle.Error(),
	})
	r.refuse(x, refusal)
	return false
}

// hasHistory reports whether this VM has all changes of routes and of plain services' builds within builds.Memory.
func (r *Relay) hasHistory() bool {
	return r.options.HistoryComplete() && max(r.options.EndpointsAge(), r.options.ConfigurationAge()) <= builds.MaxAge
}

// plainOrigin reports whether no other service than the request's can have begun the stream that is taken up, by the
// changes of its route that this VM has observed.
func (r *Relay) plainOrigin(x *exchange) bool {
	now := time.Now()
	if x.route.LeadsOnlyTo(x.service.Name) {
		return !x.route.LedElsewhere(x.service.Name, now.Add(-builds.Memory))
	}
	return r.sameAssignment(x, now)
}

// sameAssignment reports whether a take-up goes to the service that got the request which began its stream: its route has
// been as it is for as long as the stream may have run, also by a configuration that was read after the request had
// arrived, and leads to one service or the caller names that request, by which a split is made.
func (r *Relay) sameAssignment(x *exchange, now time.Time) bool {
	if x.request.resumes() == "" && !x.route.LeadsOnlyTo(x.service.Name) {
		return false
	}
	return now.Sub(x.route.UnchangedSince) >= builds.Memory && r.options.ConfigurationAge() < now.Sub(x.request.Arrived)
}

// ledToPlainService reports whether requests of the route go to a service without engines, or are known to have gone there
// lately. A service that the configuration does not have any more may have had none.
func (r *Relay) ledToPlainService(x *exchange, now time.Time) bool {
	table := r.options.Fleet.Table()
	for _, d := range x.route.Destinations {
		if d.Weight > 0 && mayBePlain(table, d.Service) {
			return true
		}
	}
	for former, until := range x.route.FormerServices {
		if now.Sub(until) < builds.Memory && mayBePlain(table, former) {
			return true
		}
	}
	return false
}

func mayBePlain(table *routing.Table, name string) bool {
	service := table.Service(name)
	return service == nil || service.Engines == nil
}
