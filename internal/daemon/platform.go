package daemon

import (
	"context"
	"net/http"
	"strings"
	"time"

	"go.uber.org/fx"

	"github.com/ospreyshed/ospreyshed/internal/background"
	"github.com/ospreyshed/ospreyshed/internal/metrics"
	"github.com/ospreyshed/ospreyshed/internal/platform/logservice"
	"github.com/ospreyshed/ospreyshed/internal/platform/vmlist"
	"github.com/ospreyshed/ospreyshed/internal/settings"
	"github.com/ospreyshed/ospreyshed/internal/timeline"
	"github.com/ospreyshed/ospreyshed/internal/upstream"
)

// platformModule provides the clients of the platform's services, and the metrics
// and the timeline that all other modules use.
var platformModule = fx.Module("platform",
	fx.Provide(
		metrics.NewRegistry,
		newRing,
		newTransport,
		newLog,
		newAppender,
		newVMList,
	),
)

// ringCapacity is the number of timeline events that a process keeps.
const ringCapacity = 1 << 14

func newRing(id Identity, registry *metrics.Registry) (*timeline.Ring, timeline.Recorder) {
	ring := timeline.NewRing(id.VM, id.Incarnation, ringCapacity)
	registry.Mount("timeline", ring.Metrics())
	return ring, ring
}

const (
	platformIdleTimeout = time.Minute
	platformIdleConns   = 32
)

// platformTransport is the HTTP transport to the platform's services.
type platformTransport struct{ *http.Transport }

// RoundTrip implements http.RoundTripper. It returns an error for a response that is not valid in HTTP/1.
func (t platformTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.Transport.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	if err := upstream.CheckHead(response); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	return response, nil
}

func newTransport(lifecycle fx.Lifecycle) platformTransport {
	transport := platformTransport{&http.Transport{
		MaxIdleConnsPerHost: platformIdleConns,
		IdleConnTimeout:     platformIdleTimeout,
	}}
	onStop(lifecycle, func(context.Context) { transport.CloseIdleConnections() })
	return transport
}

// newLog returns the client of the log service, wrapped by its outage detector.
func newLog(conf *settings.Settings, transport platformTransport, events timeline.Recorder, registry *metrics.Registry) logservice.Service {
	client := logservice.NewClient(hostOf(conf.Platform.Log), transport)
	health := logservice.NewHealth(client, events)
	registry.Mount("log_health", health.Vars())
	return health
}

// hostOf strips the scheme of a base URL.
func hostOf(base string) string {
	return strings.TrimSuffix(strings.TrimPrefix(base, "http://"), "/")
}

func newAppender(lifecycle fx.Lifecycle, log logservice.Service, registry *metrics.Registry) (*logservice.Appender, error) {
	appender, err := logservice.NewAppender(log, logservice.AppenderOptions{})
	if err != nil {
		return nil, err
	}
	registry.Mount("log_append", appender.Vars())
	onStop(lifecycle, func(context.Context) { appender.Close() })
	return appender, nil
}

// vmListSubscribers are called with each list that is fetched.
type vmListSubscribers struct {
	fx.In
	Subscribers []func(vmlist.List) `group:"vmlist"`
}

func newVMList(
	lifecycle fx.Lifecycle, conf *settings.Settings, transport platformTransport, events timeline.Recorder, registry *metrics.Registry, in vmListSubscribers,
) *vmlist.Poller {
	poller := vmlist.NewPoller(vmlist.NewClient(conf.Platform.VMList, transport), events, in.Subscribers...)
	registry.Mount("vm_list", metrics.Fields(&poller.Counters))
	background.Run(lifecycle, poller.Run)
	return poller
}
