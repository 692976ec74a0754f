package relay

import (
	"context"

	"github.com/joomcode/errorx"
	"github.com/sirupsen/logrus"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/engine"
	"github.com/ospreyshed/ospreyshed/internal/origin"
	"github.com/ospreyshed/ospreyshed/internal/upstream"
)

// Replaced means that another process of an engine serves at its address than the registered one.
var Replaced = upstream.InDoubt.NewSubtype("replaced")

// Incarnations distinguishes the processes of an engine.
type Incarnations interface {
	// Confirm returns nil if the registered process of an engine serves at its address. The error is
	// Replaced if another one does; with any other error that is not known.
	Confirm(ctx context.Context, engine *configuration.Endpoint) error
}

// confirmProcess returns an error unless the registered process of an engine serves a stream that began
// elsewhere. An engine may be back under its ID with another build before its registration arrives. The
// answer has begun, so that a process which is confirmed now is the one that gives it.
func (r *Relay) confirmProcess(ctx context.Context, g *generation, id engine.AttemptID, to *configuration.Endpoint) error {
	if !g.begun || g.stream == "" {
		return nil
	}
	err := r.options.Incarnations.Confirm(ctx, to)
	if err == nil || ctx.Err() != nil {
		return ctx.Err()
	}
	r.Counters.Unconfirmed.Add(1)
	r.decide(g.exchange, "engine's process not confirmed", logrus.Fields{"stream": g.stream, "endpoint": to.Name, "build": to.Build, "error": err.Error()})
	if errorx.IsOfType(err, Replaced) {
		r.handleReplacedEngine(g, id, to)
	} else {
		g.exclude = append(g.exclude, to.Name)
	}
	return g.retryUnlessSingleRun()
}

// followRestart records the build of the engine's present process if the engine was started again under its ID
// before the stream began: the connections of the process before have ended.
func (s *stream) followRestart() {
	r, g := s.relay, s.generation
	view := r.options.Fleet.View()
	if g.stream == "" || view.Instance(s.endpoint.Name) != nil {
		return
	}
	present := view.Successor(s.instanceID, s.endpoint.Address)
	if present == nil || present.Build == g.build {
		return
	}
	r.decide(g.exchange, "stream began after a restart of its engine", logrus.Fields{
		"stream": g.stream, "endpoint": present.Name, "former_build": g.build, "build": present.Build,
	})
	g.build = present.Build
	g.revision++
	r.options.Origins.Record(origin.Origin{Stream: g.stream, Service: g.service.Name, Build: g.build, Revision: g.revision})
}
