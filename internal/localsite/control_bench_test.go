package localsite

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/ospreyshed/ospreyshed/examples"
	"github.com/ospreyshed/ospreyshed/internal/caller"
	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/settings"
	"github.com/ospreyshed/ospreyshed/internal/standin"
	"github.com/ospreyshed/ospreyshed/internal/team"
)

const (
	// controlWarmUp is the time before the first measurement.
	controlWarmUp = 3 * time.Second
	// controlWindow is the duration of a measurement.
	controlWindow = 8 * time.Second
	// controlZone holds all entry VMs and engines.
	controlZone = "zone-a"
	// controlTokens is the number of tokens of every answer.
	controlTokens = 20
)

// controlSize is the size of a deployment of one zone.
type controlSize struct {
	vms, engines, teams int
	// rate is the number of streamed answers per second.
	rate int
}

func (s controlSize) String() string {
	return fmt.Sprintf("vms=%d/engines=%d/teams=%d/rate=%d", s.vms, s.engines, s.teams, s.rate)
}

// BenchmarkControlCost runs the entry VMs of one zone as processes and reports the
// mean and the maximum of their resource usage. Each iteration lasts controlWindow;
// run it with -benchtime 1x. The cost per VM, engine, team or request follows from
// the differences between the sizes.
func BenchmarkControlCost(b *testing.B) {
	for _, size := range []controlSize{
		{vms: 2, engines: 4, teams: 1},
		{vms: 4, engines: 4, teams: 1},
		{vms: 8, engines: 4, teams: 1},
		{vms: 4, engines: 40, teams: 1},
		{vms: 4, engines: 4, teams: 1100},
		{vms: 8, engines: 4, teams: 1, rate: 20},
		{vms: 8, engines: 4, teams: 1, rate: 60},
	} {
		b.Run(size.String(), func(b *testing.B) {
			c := startControl(b, size)
			stop := c.load(b, size.rate)
			defer stop()
			time.Sleep(controlWarmUp)
			for b.Loop() {
				c.measure(b)
			}
		})
	}
}

// controlBench is a deployment whose entry VMs are separate processes.
type controlBench struct {
	site        *Site
	nodes       []*nodeProcess
	callers     []string
	log, vmList *countingProxy
}

func startControl(b *testing.B, size controlSize) *controlBench {
	b.Helper()
	bundle := controlBundle(b, size)
	platform, err := standin.StartBundle(&bundle, fastEngines(controlTokens))
	assert.NilError(b, err)
	b.Cleanup(func() { assert.NilError(b, platform.Close()) })
	c := &controlBench{
		site:   &Site{Platform: platform},
		log:    startCountingProxy(b, platform.Log.Addr()),
		vmList: startCountingProxy(b, platform.VMList.Addr()),
	}
	var seeds []string
	for i := range bundle.Fleet.VMs {
		vm := &bundle.Fleet.VMs[i]
		n := startNode(b, c.settingsFor(vm.Name, seeds))
		usage := n.usage(b)
		vm.Address = usage.Peers
		seeds = append(seeds, usage.Peers)
		c.nodes = append(c.nodes, n)
		c.callers = append(c.callers, usage.Callers)
	}
	assert.NilError(b, c.site.Publish(b.Context(), bundle))
	c.awaitReady(b)
	return c
}

// controlBundle returns a configuration of one zone.
func controlBundle(b *testing.B, size controlSize) configuration.Bundle {
	bundle, err := BundleOf("quickstart.json", examples.Quickstart)
	assert.NilError(b, err)
	fleet := &bundle.Fleet
	fleet.Zones = []configuration.Zone{{Name: controlZone}}
	fleet.Links = nil
	fleet.VMs = nil
	for i := range size.vms {
		fleet.VMs = append(fleet.VMs, configuration.VM{Name: fmt.Sprintf("entry-%d", i), Zone: controlZone})
	}
	fleet.Endpoints = controlEndpoints(fleet.Endpoints, size.engines)
	bundle.Teams = controlTeams(&bundle.Teams[0], size.teams)
	return bundle
}

// controlEndpoints returns the plain service of the zone and a number of engines,
// half of them with each role.
func controlEndpoints(all []configuration.Endpoint, engines int) []configuration.Endpoint {
	var endpoints []configuration.Endpoint
	for i := range all {
		e := all[i]
		switch e.Name {
		case benchPlain:
			endpoints = append(endpoints, e)
		case benchPrefill, benchDecode:
			for n := range engines / 2 {
				copied := e
				copied.Name = fmt.Sprintf("%s-%d", e.Role, n)
				copied.ReportsLoad = true
				endpoints = append(endpoints, copied)
			}
		}
	}
	return endpoints
}

// controlTeams returns the first team and copies with different names and keys.
func controlTeams(first *configuration.Team, n int) []configuration.Team {
	teams := []configuration.Team{*first}
	for i := 1; i < n; i++ {
		added := *first
		added.Name = fmt.Sprintf("team-%d", i)
		added.KeyDigests = []string{team.DigestOf(added.Name).String()}
		teams = append(teams, added)
	}
	return teams
}

func (c *controlBench) settingsFor(name string, seeds []string) *settings.Settings {
	conf := settings.Default()
	conf.VM, conf.Zone = name, controlZone
	conf.Callers.Listen, conf.Peers.Listen = standin.AnyAddress, standin.AnyAddress
	conf.Peers.Seeds = seeds
	conf.Platform.Log = "http://" + c.log.addr()
	conf.Platform.VMList = "http://" + c.vmList.addr()
	return conf
}

func (c *controlBench) awaitReady(b *testing.B) {
	poll.WaitOn(b, func(poll.LogT) poll.Result {
		for _, u := range c.usages(b) {
			if !u.Ready {
				return poll.Continue("%s has no configuration", u.Peers)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(pollTimeout))
}

func (c *controlBench) usages(b *testing.B) []*nodeUsage {
	all := make([]*nodeUsage, len(c.nodes))
	for i, n := range c.nodes {
		all[i] = n.usage(b)
	}
	return all
}

// load sends requests for streamed answers at a rate per second until the returned
// function is called.
func (c *controlBench) load(b *testing.B, rate int) func() {
	if rate == 0 {
		return func() {}
	}
	ctx, cancel := context.WithCancel(b.Context())
	transport := &http.Transport{MaxIdleConnsPerHost: rate}
	client := &http.Client{Transport: transport}
	var failed atomic.Int64
	var sending sync.WaitGroup
	sending.Go(func() {
		ticker := time.NewTicker(time.Second / time.Duration(rate))
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				sending.Go(func() { c.sendRequest(ctx, client, n, &failed) })
			}
		}
	})
	return func() {
		cancel()
		sending.Wait()
		transport.CloseIdleConnections()
		b.ReportMetric(float64(failed.Load()), "failed")
	}
}

// sendRequest sends request n, for a streamed answer, to one of the entry VMs.
func (c *controlBench) sendRequest(ctx context.Context, client *http.Client, n int, failed *atomic.Int64) {
	address := c.callers[n%len(c.callers)]
	answer, err := caller.New(address, examples.QuickstartKey, client).Do(ctx, summaryOf(fmt.Sprint(benchPrompt, n)))
	if ctx.Err() == nil && (err != nil || !answer.OK()) {
		failed.Add(1)
	}
}

// measure measures the usage during controlWindow and reports it.
func (c *controlBench) measure(b *testing.B) {
	before := c.usages(b)
	log, vmList := c.log.count.Load(), c.vmList.count.Load()
	started := time.Now()
	time.Sleep(controlWindow)
	after := c.usages(b)
	elapsed := time.Since(started).Seconds()
	nodes := float64(len(c.nodes))
	b.ReportMetric(float64(c.log.count.Load()-log)/elapsed/nodes, "logB/s")
	b.ReportMetric(float64(c.vmList.count.Load()-vmList)/elapsed/nodes, "listB/s")
	report := func(unit string, of func(before, after *nodeUsage) float64) {
		var sum, most float64
		for i := range after {
			value := of(before[i], after[i])
			sum += value
			most = max(most, value)
		}
		b.ReportMetric(sum/nodes, unit+"-mean")
		b.ReportMetric(most, unit+"-max")
	}
	report("peerB/s", func(before, after *nodeUsage) float64 { return (after.peerBytes() - before.peerBytes()) / elapsed })
	report("cpu%", func(before, after *nodeUsage) float64 {
		return 100 * (after.CPUBefore - before.CPUAfter).Seconds() / elapsed
	})
	report("heapMB", func(_, after *nodeUsage) float64 { return float64(after.LiveHeap) / 1e6 })
	report("residentMB", func(_, after *nodeUsage) float64 { return float64(after.Resident) / 1e6 })
}

// countingProxy forwards connections to an address and counts their bytes.
type countingProxy struct {
	listener net.Listener
	target   string
	count    atomic.Int64
	open     sync.WaitGroup
}

func startCountingProxy(b *testing.B, target string) *countingProxy {
	listener, err := new(net.ListenConfig).Listen(b.Context(), "tcp", standin.AnyAddress)
	assert.NilError(b, err)
	r := &countingProxy{listener: listener, target: target}
	r.open.Go(r.accept)
	b.Cleanup(func() {
		_ = listener.Close()
		r.open.Wait()
	})
	return r
}

func (r *countingProxy) addr() string { return r.listener.Addr().String() }

func (r *countingProxy) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.open.Go(func() { r.forward(conn) })
	}
}

// forward forwards the bytes of one connection until either side closes it.
func (r *countingProxy) forward(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	upstream, err := new(net.Dialer).DialContext(context.Background(), "tcp", r.target)
	if err != nil {
		return
	}
	defer func() { _ = upstream.Close() }()
	var responses sync.WaitGroup
	responses.Go(func() {
		_, _ = io.Copy(countedConn{Conn: conn, count: &r.count}, upstream)
		_ = conn.Close()
	})
	_, _ = io.Copy(countedConn{Conn: upstream, count: &r.count}, conn)
	_ = upstream.Close()
	responses.Wait()
}
