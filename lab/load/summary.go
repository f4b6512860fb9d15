package load

import (
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Quantiles are latencies in microseconds.
type Quantiles struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50_us"`
	P90   int64 `json:"p90_us"`
	P99   int64 `json:"p99_us"`
	P999  int64 `json:"p999_us"`
	Max   int64 `json:"max_us"`
	// Hdr is the whole histogram in HdrHistogram's compressed form.
	Hdr string `json:"hdr,omitempty"`
}

// Summary has the contents of a Record as the result file stores them.
type Summary struct {
	// Latency has the quantiles of each phase and kind.
	Latency map[string]map[string]Quantiles `json:"latency"`
	// Count has the number of requests of each kind and outcome.
	Count map[string]map[string]int64 `json:"count"`
	// Timeline has one bucket for each tenth of a second.
	Timeline []Bucket `json:"timeline"`
	Stale    []Stale  `json:"stale"`
	Checked  int64    `json:"reads_checked"`
	Roams    int64    `json:"roams"`
	// Moves counts the reconnections of callers whose VM closed the connection between two requests.
	Moves    int64          `json:"moves"`
	Oracle   Oracle         `json:"oracle"`
	Errors   map[string]int `json:"errors"`
	Payments int            `json:"payments"`
}

// Summary returns a copy of what the record has so far.
func (r *Record) Summary() Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := Summary{
		Latency: map[string]map[string]Quantiles{}, Count: map[string]map[string]int64{},
		Timeline: slices.Clone(r.timeline), Stale: slices.Clone(r.stale), Checked: r.checked, Roams: r.roams,
		Moves: r.moves, Oracle: r.oracle, Errors: maps.Clone(r.errors), Payments: len(r.payments),
	}
	for name, byKind := range r.latency {
		s.Latency[name] = map[string]Quantiles{}
		for k, h := range byKind {
			s.Latency[name][k.String()] = Quantiles{
				Count: h.TotalCount(), P50: h.ValueAtQuantile(50), P90: h.ValueAtQuantile(90),
				P99: h.ValueAtQuantile(99), P999: h.ValueAtQuantile(99.9), Max: h.Max(), Hdr: encodeHistogram(h),
			}
		}
	}
	for _, k := range Kinds() {
		s.Count[k.String()] = map[string]int64{}
		for o := Done; o < outcomeCount; o++ {
			s.Count[k.String()][o.String()] = r.count[k][o]
		}
	}
	return s
}

func sorted(d []time.Duration) []time.Duration {
	d = slices.Clone(d)
	slices.Sort(d)
	return d
}

func encodeHistogram(h *hdrhistogram.Histogram) string {
	if h.TotalCount() == 0 {
		return ""
	}
	// Encoding in memory does not fail.
	body, _ := h.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	return string(body)
}
