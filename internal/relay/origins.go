package relay

import (
	"context"
	"time"

	"github.com/joomcode/errorx"
	"github.com/sirupsen/logrus"

	"github.com/ospreyshed/ospreyshed/internal/origin"
	"github.com/ospreyshed/ospreyshed/internal/scheduling"
)

const (
	// confirmTimeout limits the wait for the holders of a stream's record before its first
	// event, if the build has changed since the record was first sent.
	confirmTimeout = 300 * time.Millisecond
	// findShare is the share of the time that callers wait for an event that a search for
	// their stream's build may take. The rest is for the engine.
	findShare = 0.5
	// soleBuildMaxAge is the age of the registrations from which on they do not tell that a
	// service has a single build.
	soleBuildMaxAge = 3 * time.Second
	// unansweredRetryAfter is the retry delay sent to a caller whose stream's build could not
	// be found because VMs did not respond.
	unansweredRetryAfter = time.Second
)

// Origins remembers which build of an engine's software began a stream. It is
// implemented by origin.Service.
type Origins interface {
	Record(o origin.Origin)
	End(stream string, complete bool)
	Confirm(ctx context.Context, stream string) error
	Find(ctx context.Context, stream string) (origin.Origin, error)
}

// lineage is what ties a stream that may be resumed to the build that began it.
type lineage struct {
	// stream is the ID of the request that brought the first event, or that may bring
	// it; empty for streams that may not be resumed.
	stream string
	// takenUp is set if the caller has events of an earlier request.
	takenUp bool
	// begun is set once the stream has an event; only engines of the build may then go
	// on with it. An empty build permits any.
	begun bool
	build string
	// revision counts the builds that were recorded for the stream.
	revision uint64
	// exclusionsCleared is set once the engines that failed the request were allowed
	// again because no other engine has the build.
	exclusionsCleared bool
}

// requiredBuild returns the build that the next engine must have, empty if any will do.
func (l *lineage) requiredBuild() string {
	if l.begun {
		return l.build
	}
	return ""
}

// permits reports whether an engine of a build may serve the stream.
func (l *lineage) permits(build string) bool {
	required := l.requiredBuild()
	return required == "" || build == required
}

// trace determines which build began the stream. It returns false after it refused a
// caller whose stream cannot be continued.
func (r *Relay) trace(ctx context.Context, g *generation) bool {
	if !g.route.Resumable {
		return true
	}
	g.stream = g.request.ID
	if g.lastEventID == "" {
		return true
	}
	g.takenUp, g.begun, g.late = true, true, false
	if resumes := g.request.Generation.Resumes; resumes != "" {
		g.stream = resumes
	}
	found, err := r.findOrigin(ctx, g)
	fields := logrus.Fields{"stream": g.stream, "last_event": g.lastEventID}
	if err == nil {
		g.build, g.revision = found.Build, found.Revision
		fields["build"] = g.build
		r.decide(g.exchange, "stream taken up", fields)
		return true
	}
	if ctx.Err() != nil {
		return true
	}
	fields["error"] = err.Error()
	if sole, ok := r.soleBuild(g.service.Name); ok {
		g.build = sole
		fields["build"] = sole
		r.decide(g.exchange, "stream taken up at the only build", fields)
		return true
	}
	r.Counters.Untraced.Add(1)
	r.decide(g.exchange, "stream not traced", fields)
	refusal := Refusal{Reason: "the build that began the stream is not known"}
	if !errorx.IsOfType(err, origin.Unknown) {
		refusal.RetryAfter = unansweredRetryAfter
	}
	r.refuse(g.exchange, refusal)
	return false
}

// findOrigin searches for the record of the stream that a caller takes up.
func (r *Relay) findOrigin(ctx context.Context, g *generation) (origin.Origin, error) {
	if wait := g.request.EventTimeout; wait > 0 {
		limited, cancel := context.WithTimeout(ctx, time.Duration(findShare*float64(wait)))
		defer cancel()
		ctx = limited
	}
	return r.options.Origins.Find(ctx, g.stream)
}

// soleBuild returns the only build that may have begun a stream of a service, false if
// there are several or the registrations are too old to tell.
func (r *Relay) soleBuild(service string) (string, bool) {
	if r.options.EndpointsAge() > soleBuildMaxAge {
		return "", false
	}
	return r.options.Fleet.SoleBuild(service, time.Now())
}

// recordOrigin records the build of an engine before the request is sent to it.
func (r *Relay) recordOrigin(g *generation, build string) {
	if g.stream == "" {
		return
	}
	if !g.begun && build != g.build {
		g.build = build
		g.revision++
	}
	r.options.Origins.Record(origin.Origin{Stream: g.stream, Service: g.service.Name, Build: g.build, Revision: g.revision})
}

// beginStream ties the stream to the build that is about to send its first event.
func (r *Relay) beginStream(ctx context.Context, g *generation) {
	if g.stream == "" || g.begun {
		return
	}
	g.begun = true
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	if err := r.options.Origins.Confirm(ctx, g.stream); err != nil {
		r.decide(g.exchange, "build of the stream not confirmed", logrus.Fields{"stream": g.stream, "build": g.build, "error": err.Error()})
	}
}

// endStream records that the stream does not run here any more.
func (r *Relay) endStream(g *generation, complete bool) {
	if g.stream != "" {
		r.options.Origins.End(g.stream, complete || !g.begun)
	}
}

// allowFailedEngines lets the engines that failed the request serve it again if no other
// engine of the required build is left. It does so once for each request.
func (g *generation) allowFailedEngines(reason scheduling.RefusalReason) bool {
	if reason != scheduling.RefusedNoEngine || g.requiredBuild() == "" || len(g.exclude) == 0 || g.exclusionsCleared {
		return false
	}
	g.exclusionsCleared = true
	g.exclude = nil
	return true
}
