package relay

import (
	"context"
	"errors"
	"time"

	"github.com/joomcode/errorx"
	"github.com/sirupsen/logrus"

	"github.com/ospreyshed/ospreyshed/internal/background"
	"github.com/ospreyshed/ospreyshed/internal/builds"
	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/origin"
	"github.com/ospreyshed/ospreyshed/internal/scheduling"
)

const (
	// minConfirmTime is how long a stream at least waits for the confirmation of its record before
	// its first event, if the build has changed since the record was first sent: a VM collects
	// records for 50 ms, the archiver for 200 ms, and the store takes some.
	minConfirmTime = 600 * time.Millisecond
	// findShare is the share of the time that callers wait for an event that a search for
	// their stream's build at other VMs may take, archiveShare the share that has passed when
	// the search in the archive ends as well, or the wait for the confirmation of a record. The
	// remainder is for the engine, or for a caller that comes back.
	findShare    = 0.5
	archiveShare = 0.75
	// unansweredRetryAfter is the retry delay sent to a caller whose stream's build could not
	// be found because VMs or the store did not respond.
	unansweredRetryAfter = time.Second
	// listWait is how long a stream waits for a build that may begin it. A new build may do so
	// after builds.MaxAge unless the store accepts no writes, which may last long.
	listWait = builds.MaxAge + time.Second
	// unlistedRetryAfter is the retry delay sent to a caller whose stream no build may begin.
	unlistedRetryAfter = 2 * time.Second
	// unlistedPoll is the time between two checks whether engines of a new build may begin
	// streams.
	unlistedPoll = 50 * time.Millisecond
)

// errListed means that engines of a new build may begin streams now.
var errListed = errors.New("a build was listed")

// Origins remembers which build of an engine's software began a stream. It is
// implemented by origin.Service.
type Origins interface {
	Record(o origin.Origin)
	End(stream string, complete bool)
	Confirm(ctx context.Context, stream string) error
	Find(ctx context.Context, stream string) (origin.Origin, error)
	FindArchived(ctx context.Context, stream string) (origin.Origin, error)
	ConfirmArchived(ctx context.Context, stream string) error
}

// Builds is the history of the builds of services. It is implemented by builds.History.
type Builds interface {
	// Sole returns the only build that can have begun a stream of a service, if it is proved.
	Sole(now time.Time, service string) (string, bool)
	// Alone reports whether no other service of engines can have begun a stream that is still taken up.
	Alone(now time.Time, service string) bool
	// Held reports whether engines of a build may not begin streams that can be resumed yet.
	Held(now time.Time, service, build string) bool
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
	if resumes := g.request.resumes(); resumes != "" {
		g.stream = resumes
	}
	fields := logrus.Fields{"stream": loggedID(g.stream), "last_event": loggedID(g.lastEventID)}
	found, outcome, err := r.findBuild(ctx, g)
	if err != nil {
		fields["error"] = err.Error()
	}
	if outcome != "" {
		g.build, g.revision = found.Build, found.Revision
		fields["build"], fields["service"] = g.build, found.Service
		if !r.followService(g, found.Service) {
			r.Counters.Moved.Add(1)
			r.decide(g.exchange, "stream's service not available", fields)
			r.refuse(g.exchange, Refusal{Reason: "the route does not lead to the service that began the stream"})
			return false
		}
		r.decide(g.exchange, outcome, fields)
		return true
	}
	if ctx.Err() != nil {
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

// followService makes the request one of the service that began its stream, which the split of the route may have
// changed since. It returns false if the route leads to that service no more.
func (r *Relay) followService(g *generation, name string) bool {
	if name == g.service.Name {
		return true
	}
	table := r.options.Fleet.Table()
	if table == nil || !g.route.LeadsTo(name) {
		return false
	}
	service := table.Service(name)
	if service == nil || service.Engines == nil {
		return false
	}
	g.service = service
	return true
}

// findBuild determines the build that began a stream: by the record that VMs have, by the
// proof that there has been one build only, or by the record in the archive. The outcome is
// empty if it is not known; the error then is Unknown if all VMs and the archive responded.
func (r *Relay) findBuild(ctx context.Context, g *generation) (found origin.Origin, outcome string, err error) {
	found, err = r.findOrigin(ctx, g)
	if err == nil {
		return found, "stream taken up", nil
	}
	if ctx.Err() != nil {
		return origin.Origin{}, "", err
	}
	if sole, ok := r.soleBuild(g.service.Name); ok && r.soleService(g) {
		return origin.Origin{Service: g.service.Name, Build: sole}, "stream taken up at the only build", err
	}
	found, archiveErr := r.findArchived(ctx, g)
	if archiveErr == nil {
		r.Counters.TracedByArchive.Add(1)
		return found, "stream taken up by its record in the store", err
	}
	if !errorx.IsOfType(archiveErr, origin.Unknown) {
		err = archiveErr
	}
	return origin.Origin{}, "", err
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

// findArchived searches for the record of the stream in the archive.
func (r *Relay) findArchived(ctx context.Context, g *generation) (origin.Origin, error) {
	if wait := g.request.EventTimeout; wait > 0 {
		limited, cancel := context.WithDeadline(ctx, g.request.Arrived.Add(time.Duration(archiveShare*float64(wait))))
		defer cancel()
		ctx = limited
	}
	return r.options.Origins.FindArchived(ctx, g.stream)
}

// soleBuild returns the only build that may have begun a stream of a service, false if
// there are several, if that is not proved or if the registrations are too old.
func (r *Relay) soleBuild(service string) (string, bool) {
	if r.options.EndpointsAge() > builds.MaxAge {
		return "", false
	}
	return r.options.Builds.Sole(time.Now(), service)
}

// soleService reports whether no other service can have begun the stream: the route has led to no service without engines,
// and no other service has had engines; or the route has assigned the request which began the stream to the same service.
func (r *Relay) soleService(g *generation) bool {
	now := time.Now()
	if r.options.Builds.Alone(now, g.service.Name) && !r.ledToPlainService(g.exchange, now) {
		return true
	}
	return r.sameAssignment(g.exchange, now)
}

// heldBuild reports whether an engine may not begin the stream yet, because a VM that starts
// would have no record of its build.
func (r *Relay) heldBuild(g *generation, service, build string) bool {
	return g.stream != "" && !g.begun && r.options.Builds.Held(time.Now(), service, build)
}

// unlisted returns the decode engines that may not begin the stream yet, and whether no other
// one can.
func (r *Relay) unlisted(g *generation) (held []string, all bool) {
	if g.stream == "" || g.begun {
		return nil, false
	}
	view := r.options.Fleet.View()
	all = true
	for _, e := range view.Engines(g.service.Name, configuration.RoleDecode, "") {
		switch {
		case !r.mayUse(view.Instance(e.Name)):
		case r.heldBuild(g, e.Service, e.Build):
			held = append(held, e.Name)
		default:
			all = false
		}
	}
	return held, all && len(held) > 0
}

// awaitListed waits while only engines of unlisted builds could begin the stream. It returns false
// if that lasts for listWait.
func (r *Relay) awaitListed(ctx context.Context, g *generation) bool {
	_, all := r.unlisted(g)
	if !all {
		return true
	}
	r.Counters.HeldForBuilds.Add(1)
	r.decide(g.exchange, "stream waits for its build to be listed", nil)
	limited, cancel := context.WithTimeout(ctx, listWait)
	defer cancel()
	for all && limited.Err() == nil {
		background.Pause(limited, unlistedPoll)
		_, all = r.unlisted(g)
	}
	if all && ctx.Err() == nil {
		g.refusal, g.retryAfter = "no engine's build is listed yet", unlistedRetryAfter
	}
	return !all
}

// untilListed returns a context that ends when the number of engines that may not begin the
// stream falls below that of a demand, so that the demand can name them. The second function
// reports whether it has ended for that.
func (r *Relay) untilListed(ctx context.Context, g *generation) (limited context.Context, listed func() bool, stop func()) {
	held, _ := r.unlisted(g)
	if len(held) == 0 {
		return ctx, func() bool { return false }, func() {}
	}
	limited, cancel := context.WithCancelCause(ctx)
	watched := g.detached()
	done := make(chan struct{})
	go func() {
		defer close(done)
		for limited.Err() == nil {
			background.Pause(limited, unlistedPoll)
			if now, _ := r.unlisted(watched); len(now) < len(held) {
				cancel(errListed)
			}
		}
	}()
	listed = func() bool { return errors.Is(context.Cause(limited), errListed) }
	return limited, listed, func() {
		cancel(nil)
		<-done
	}
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

// reclaimOrigin records the build of a stream that has not begun after other engines were sought for it, which may have
// been recorded with the next revision.
func (r *Relay) reclaimOrigin(g *generation, build string) {
	if g.stream == "" || g.begun {
		return
	}
	g.build = build
	g.revision += 2
	r.options.Origins.Record(origin.Origin{Stream: g.stream, Service: g.service.Name, Build: g.build, Revision: g.revision})
}

// beginStream ties the stream to the build that is about to send its first event. It returns false
// if a VM or the archive may have a former build of the stream: a caller that took the stream up
// would get the remainder from that build.
func (r *Relay) beginStream(ctx context.Context, g *generation) bool {
	if g.stream == "" || g.begun {
		return true
	}
	until := time.Now().Add(minConfirmTime)
	if share := g.request.Arrived.Add(time.Duration(archiveShare * float64(g.request.EventTimeout))); share.After(until) {
		until = share
	}
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	err := r.options.Origins.Confirm(ctx, g.stream)
	if err == nil {
		err = r.options.Origins.ConfirmArchived(ctx, g.stream)
	}
	if err != nil {
		r.Counters.Unconfirmed.Add(1)
		r.decide(g.exchange, "build of the stream not confirmed", logrus.Fields{"stream": loggedID(g.stream), "build": g.build, "error": err.Error()})
		return false
	}
	g.begun = true
	return true
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
