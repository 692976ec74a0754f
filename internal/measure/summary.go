package measure

import (
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Summary summarizes the requests of a point or of one of its classes.
type Summary struct {
	// Sent counts all requests, Gone those whose caller was to disconnect, Repeats
	// those that use the key of an earlier request. Offered counts all others,
	// over which goodput is measured.
	Sent    int `json:"sent"`
	Gone    int `json:"gone"`
	Repeats int `json:"repeats"`
	Offered int `json:"offered"`
	// Answered, Refused, CutShort and Unreachable count the offered requests by
	// their result. Good counts the answered ones that met all targets of their
	// class.
	Answered    int `json:"answered"`
	Good        int `json:"good"`
	Refused     int `json:"refused"`
	CutShort    int `json:"cut_short"`
	Unreachable int `json:"unreachable"`
	// Refusals counts the refused ones of the offered requests by problem type
	// and outcome.
	Refusals map[string]int `json:"refusals,omitempty"`
	// CutExamples describe the first answers that were cut short.
	CutExamples []string `json:"cut_examples,omitempty"`
	// GoodPerSecond is the goodput in requests per second, GoodShare the share of
	// the offered requests that are good.
	GoodPerSecond float64 `json:"good_per_second"`
	GoodShare     float64 `json:"good_share"`
	// FirstToken and Whole are the times from the intended send time to the first
	// token and to the end of the answer, for answered requests. BetweenTokens are
	// the times between successive tokens of all answers. All are in milliseconds.
	FirstToken    Percentiles `json:"first_token_ms"`
	BetweenTokens Percentiles `json:"between_tokens_ms"`
	Whole         Percentiles `json:"whole_ms"`
	// SendDelay is the time from the intended to the actual send time, in
	// milliseconds.
	SendDelay Percentiles `json:"send_delay_ms"`
}

// Percentiles holds percentiles of durations in milliseconds.
type Percentiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

// The unit, range and precision (in significant digits) of the histograms.
const (
	histogramUnit   = time.Microsecond
	histogramMax    = int64(time.Hour / histogramUnit)
	histogramDigits = 3
)

// latencyHistogram is a histogram of durations.
type latencyHistogram struct{ histogram *hdrhistogram.Histogram }

func newLatencyHistogram() latencyHistogram {
	return latencyHistogram{hdrhistogram.New(1, histogramMax, histogramDigits)}
}

func (d latencyHistogram) add(value time.Duration) {
	_ = d.histogram.RecordValue(min(max(int64(value/histogramUnit), 0), histogramMax))
}

func (d latencyHistogram) percentiles() Percentiles {
	at := func(q float64) float64 {
		value := time.Duration(d.histogram.ValueAtQuantile(q)) * histogramUnit
		return float64(value) / float64(time.Millisecond)
	}
	return Percentiles{P50: at(50), P95: at(95), P99: at(99)}
}

// summarize summarizes the records that a filter selects. Goodput is computed over
// length, the duration in which their requests were to be sent.
func summarize(records []record, length time.Duration, selects func(*record) bool) Summary {
	s := Summary{Refusals: make(map[string]int)}
	first, between, whole, delay := newLatencyHistogram(), newLatencyHistogram(), newLatencyHistogram(), newLatencyHistogram()
	for i := range records {
		r := &records[i]
		if !selects(r) {
			continue
		}
		s.count(r)
		delay.add(r.sendDelay)
		if r.status != statusAnswered {
			continue
		}
		whole.add(r.wholeAnswer)
		if r.class.ModelBacked() {
			first.add(r.firstToken)
		}
		for _, gap := range r.gaps {
			between.add(gap)
		}
	}
	s.GoodPerSecond = float64(s.Good) / length.Seconds()
	s.GoodShare = float64(s.Good) / float64(max(s.Offered, 1))
	s.FirstToken = first.percentiles()
	s.BetweenTokens = between.percentiles()
	s.Whole = whole.percentiles()
	s.SendDelay = delay.percentiles()
	return s
}

// count adds one request.
func (s *Summary) count(r *record) {
	s.Sent++
	switch {
	case r.disconnectAfter > 0:
		s.Gone++
		return
	case r.repeat:
		s.Repeats++
		return
	}
	s.Offered++
	switch r.status {
	case statusAnswered:
		s.Answered++
	case statusRefused:
		s.Refused++
		s.Refusals[r.problem+" "+r.outcome]++
	case statusCutShort:
		s.CutShort++
		if len(s.CutExamples) < maxExamples {
			s.CutExamples = append(s.CutExamples, strings.TrimSpace(r.requestID+" "+r.problem+" "+r.detail))
		}
	default:
		s.Unreachable++
	}
	if r.metTargets() {
		s.Good++
	}
}

// ClassSummary is the summary of one class.
type ClassSummary struct {
	Team  string `json:"team"`
	Class string `json:"class"`
	Summary
}

func summarizeClasses(records []record, length time.Duration, classes []offeredClass) []ClassSummary {
	var all []ClassSummary
	for _, c := range classes {
		selects := func(r *record) bool { return r.Team == c.Team && r.Class == c.Class }
		all = append(all, ClassSummary{Team: c.Team, Class: c.Class, Summary: summarize(records, length, selects)})
	}
	return all
}

// Prefill counts the prompt tokens of a point at the engines.
type Prefill struct {
	// Computed counts the tokens that were computed, Cached those found in prefix
	// caches, Wasted the computed ones whose result was not used.
	Computed int `json:"computed"`
	Cached   int `json:"cached"`
	Wasted   int `json:"wasted"`
	// WastedShare is Wasted relative to Computed.
	WastedShare float64 `json:"wasted_share"`
}

// Point is the result of one run of a load.
type Point struct {
	// Variant labels a policy with its weights.
	Variant string `json:"variant"`
	Policy  string `json:"policy"`
	// Load is the offered rate relative to the capacity, Rate the same in
	// requests per second.
	Load float64 `json:"load"`
	Rate float64 `json:"rate_per_second"`
	// Fault names the injected faults, empty for none.
	Fault string `json:"fault,omitempty"`
	// Model summarizes the model-backed requests, Classes each class.
	Model   Summary        `json:"model"`
	Classes []ClassSummary `json:"classes"`
	Prefill Prefill        `json:"prefill"`
	Checks  []Check        `json:"checks"`
}

// Broken returns the checks that failed.
func (p *Point) Broken() []Check {
	var broken []Check
	for _, c := range p.Checks {
		if c.Broken > 0 {
			broken = append(broken, c)
		}
	}
	return broken
}
