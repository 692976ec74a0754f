package localsite

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/examples"
	"github.com/ospreyshed/ospreyshed/internal/caller"
	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/engine"
	"github.com/ospreyshed/ospreyshed/internal/engine/openai"
	"github.com/ospreyshed/ospreyshed/internal/standin"
	standinengine "github.com/ospreyshed/ospreyshed/internal/standin/engine"
)

const (
	benchVM      = "entry-a"
	benchOtherVM = "entry-a2"
	benchPrefill = "prefill-a1"
	benchDecode  = "decode-a1"
	benchPlain   = "registration-a"
	benchPrompt  = "Summarise the dossier of the band"

	// fastPrefillRate (tokens per second) and fastTokenInterval keep the time that
	// the stand-ins take small.
	fastPrefillRate   = 1e9
	fastTokenInterval = 100 * time.Microsecond
)

// fastEngines makes the engines fast and gives all answers one length in tokens.
func fastEngines(tokens int) func(*standin.Options) {
	return func(options *standin.Options) {
		for i := range options.Engines {
			e := &options.Engines[i].Options
			e.PrefillTokensPerSecond = fastPrefillRate
			e.TokenInterval = configuration.Duration(fastTokenInterval)
			e.TokenIntervalPerRequest = 0
			e.LinkBytesPerSecond = 0
			e.OutputTokens = standinengine.Range{Min: tokens, Max: tokens}
		}
	}
}

// overheadBench calls the same stand-ins through the router and directly.
type overheadBench struct {
	site            *Site
	routed          *caller.Client
	raw             *http.Client
	prefill, decode *openai.Client
	calls           uint64
}

func newOverheadBench(b *testing.B, vm string, tokens int) *overheadBench {
	b.Helper()
	bundle, err := BundleOf("quickstart.json", examples.Quickstart)
	assert.NilError(b, err)
	bundle.Fleet.VMs = append(bundle.Fleet.VMs, configuration.VM{Name: benchOtherVM, Zone: controlZone})
	site, err := Start(b.Context(), Options{Bundle: bundle, Tune: fastEngines(tokens)})
	assert.NilError(b, err)
	b.Cleanup(func() { assert.NilError(b, site.Close(context.Background())) })
	client := benchClient(b)
	return &overheadBench{
		site:    site,
		routed:  caller.New(site.VMs[vm].CallerAddr(), examples.QuickstartKey, client),
		raw:     client,
		prefill: benchEngine(b, site.Platform.Addr(benchPrefill)),
		decode:  benchEngine(b, site.Platform.Addr(benchDecode)),
	}
}

func benchEngine(b *testing.B, address string) *openai.Client {
	connections := openai.NewUpstream()
	b.Cleanup(connections.Close)
	return openai.New(address, connections)
}

func benchClient(b *testing.B) *http.Client {
	transport := &http.Transport{DisableCompression: true}
	b.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

// direct makes the engine calls that the router makes for an answer and returns
// the time to the first token.
func (o *overheadBench) direct(b *testing.B) time.Duration {
	o.calls++
	call := engine.Call{
		Attempt: engine.AttemptID{VM: "bench", Incarnation: 1, Request: o.calls, Attempt: 1},
		Model:   "drafter",
		Prompt:  &engine.Prompt{Text: benchPrompt},
	}
	started := time.Now()
	prefilled, err := o.prefill.Prefill(b.Context(), call)
	assert.NilError(b, err)
	stream, err := o.decode.Decode(b.Context(), engine.DecodeCall{Call: call, KV: prefilled.KV, MaxTokens: maxOutputTokens})
	assert.NilError(b, err)
	_, err = stream.Next()
	assert.NilError(b, err)
	first := time.Since(started)
	for err == nil {
		_, err = stream.Next()
	}
	assert.Assert(b, errors.Is(err, io.EOF), "%v", err)
	assert.NilError(b, stream.Close())
	return first
}

// throughRouter sends a request through the router and returns its answer.
func (o *overheadBench) throughRouter(b *testing.B, request caller.Request) caller.Answer {
	answer, err := o.routed.Do(b.Context(), request)
	assert.NilError(b, err)
	assert.Assert(b, answer.OK(), "%+v", answer)
	return answer
}

// discard sends a request through the router and discards its answer without
// parsing it.
func (o *overheadBench) discard(b *testing.B, buffer []byte) {
	request := summaryOf(benchPrompt)
	req := o.newRequest(b, http.MethodPost, "http://"+o.site.VMs[benchVM].CallerAddr()+request.Path, request.Body)
	req.Header.Set("Authorization", "Bearer "+examples.QuickstartKey)
	o.drain(b, req, buffer)
}

func (o *overheadBench) newRequest(b *testing.B, method, url string, body []byte) *http.Request {
	req, err := http.NewRequestWithContext(b.Context(), method, url, newBody(body))
	assert.NilError(b, err)
	return req
}

func (o *overheadBench) drain(b *testing.B, req *http.Request, buffer []byte) {
	resp, err := o.raw.Do(req)
	assert.NilError(b, err)
	assert.Equal(b, resp.StatusCode, http.StatusOK)
	for err == nil {
		_, err = resp.Body.Read(buffer)
	}
	assert.Assert(b, errors.Is(err, io.EOF), "%v", err)
	assert.NilError(b, resp.Body.Close())
}

// BenchmarkFirstToken alternates direct and routed answers and reports the latency
// of their first tokens. The added latency is the difference between the quantiles.
// One of the two VMs owns the reservations; the other calls it for every answer,
// which shows in the bytes per answer that it exchanges with peers.
func BenchmarkFirstToken(b *testing.B) {
	for _, vm := range []string{benchVM, benchOtherVM} {
		b.Run("vm="+vm, func(b *testing.B) {
			o := newOverheadBench(b, vm, 2)
			request := summaryOf(benchPrompt)
			before := o.peerBytes(b, vm)
			reportLatencies(b,
				func() time.Duration { return o.direct(b) },
				func() time.Duration { return o.throughRouter(b, request).FirstToken },
			)
			b.ReportMetric((o.peerBytes(b, vm)-before)/float64(b.N+compareWarmUp), "peerB/answer")
		})
	}
}

// peerBytes returns the bytes between a VM and its peers since its start.
func (o *overheadBench) peerBytes(b *testing.B, vm string) float64 {
	var usage nodeUsage
	assert.NilError(b, json.Unmarshal([]byte(o.site.VMs[vm].Metrics().String()), &usage.Counters))
	return usage.peerBytes()
}

// BenchmarkLookup alternates direct and routed lookups at a plain service.
func BenchmarkLookup(b *testing.B) {
	o := newOverheadBench(b, benchVM, 2)
	request := lookup()
	url := "http://" + o.site.Platform.Addr(benchPlain) + request.Path
	buffer := make([]byte, 4096)
	reportLatencies(b,
		func() time.Duration {
			started := time.Now()
			o.drain(b, o.newRequest(b, request.Method, url, nil), buffer)
			return time.Since(started)
		},
		func() time.Duration { return o.throughRouter(b, request).Whole },
	)
}

// compareWarmUp is the number of direct and of routed calls before the measured
// ones.
const compareWarmUp = 50

// reportLatencies reports quantiles of the latencies of direct and routed calls, in
// microseconds.
func reportLatencies(b *testing.B, direct, routed func() time.Duration) {
	for range compareWarmUp {
		direct()
		routed()
	}
	directTimes, routedTimes := newLatencies(), newLatencies()
	for b.Loop() {
		_ = directTimes.RecordValue(direct().Nanoseconds())
		_ = routedTimes.RecordValue(routed().Nanoseconds())
	}
	for _, percent := range []float64{50, 99} {
		of := func(h *hdrhistogram.Histogram) float64 {
			return float64(h.ValueAtQuantile(percent)) / float64(time.Microsecond)
		}
		b.ReportMetric(of(directTimes), fmt.Sprintf("µs-direct-p%.0f", percent))
		b.ReportMetric(of(routedTimes), fmt.Sprintf("µs-routed-p%.0f", percent))
		b.ReportMetric(of(routedTimes)-of(directTimes), fmt.Sprintf("µs-added-p%.0f", percent))
	}
}

func newLatencies() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(10*time.Second), 3)
}

// BenchmarkAnswer reports the allocations for complete answers of two lengths,
// stand-ins included. The difference between the lengths, divided by the difference
// in tokens, is the cost of one token; the cost of a routed answer minus that of a
// direct one is the router's.
func BenchmarkAnswer(b *testing.B) {
	for _, tokens := range []int{20, 180} {
		b.Run(fmt.Sprintf("direct/tokens=%d", tokens), func(b *testing.B) {
			o := newOverheadBench(b, benchVM, tokens)
			b.ReportAllocs()
			for b.Loop() {
				o.direct(b)
			}
		})
		b.Run(fmt.Sprintf("routed/tokens=%d", tokens), func(b *testing.B) {
			o := newOverheadBench(b, benchVM, tokens)
			buffer := make([]byte, 64<<10)
			b.ReportAllocs()
			for b.Loop() {
				o.discard(b, buffer)
			}
		})
	}
}

// BenchmarkIdle reports the allocations of an idle deployment in 100 ms. The results
// of BenchmarkAnswer include these allocations for the duration of an answer.
func BenchmarkIdle(b *testing.B) {
	newOverheadBench(b, benchVM, 2)
	b.ReportAllocs()
	for b.Loop() {
		time.Sleep(100 * time.Millisecond)
	}
}

// BenchmarkLoadReport measures the fetch of one load report of an engine and its
// bytes on the wire.
func BenchmarkLoadReport(b *testing.B) {
	o := newOverheadBench(b, benchVM, 2)
	client := benchEngine(b, o.site.Platform.Addr(benchDecode))
	b.ReportAllocs()
	for b.Loop() {
		_, err := client.Load(b.Context())
		assert.NilError(b, err)
	}
	b.StopTimer()
	const reports = 100
	relayed, count := countingRelay(b, o.site.Platform.Addr(benchDecode))
	client = benchEngine(b, relayed)
	for range reports {
		_, err := client.Load(b.Context())
		assert.NilError(b, err)
	}
	b.ReportMetric(float64(count.Load())/reports, "B/report")
}

// BenchmarkVMList measures one fetch of the list of VMs and reports the size of the
// list.
func BenchmarkVMList(b *testing.B) {
	for _, vms := range []int{100, 1700} {
		b.Run(fmt.Sprintf("vms=%d", vms), func(b *testing.B) { benchmarkVMList(b, vms) })
	}
}

func benchmarkVMList(b *testing.B, vms int) {
	encoded, err := json.Marshal(map[string]any{"time_ms": time.Now().UnixMilli(), "vms": listedVMs(vms)})
	assert.NilError(b, err)
	list := serveList(b, encoded)
	b.ReportAllocs()
	for b.Loop() {
		got, err := list.List(b.Context())
		assert.NilError(b, err)
		assert.Equal(b, len(got.VMs), vms)
	}
	b.ReportMetric(float64(len(encoded)), "B/list")
}
