package metric

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Sample is the value of one metric with one set of label values, as served on /metrics.json.
type Sample struct {
	Name    string            `json:"name"`
	Kind    Kind              `json:"kind"`
	Unit    string            `json:"unit"`
	Labels  map[string]string `json:"labels,omitempty"`
	Value   float64           `json:"value"`
	Sum     float64           `json:"sum,omitempty"`
	Buckets []Bucket          `json:"buckets,omitempty"`
}

// Bucket holds the cumulative count of the values up to Upper. Upper is "+Inf" in the last bucket.
type Bucket struct {
	Upper string `json:"upper"`
	Count int64  `json:"count"`
}

// Samples returns the reported values, sorted by name and labels. The Value of a histogram is the number of its values.
func (s *Set) Samples() []Sample {
	samples := make([]Sample, 0)
	for _, c := range s.reporter.sortedSeries() {
		d, ok := s.reg.Lookup(c.name)
		if !ok {
			continue
		}
		v := Sample{Name: Prefix + c.name, Kind: d.kind, Unit: d.unit, Labels: c.tags}
		switch d.kind {
		case KindCounter:
			v.Value = float64(c.count.Load())
		case KindGauge:
			v.Value = c.value.load()
		case KindHistogram:
			v.Sum = c.sum.load()
			var total int64
			for _, upper := range c.upperBounds() {
				total += c.bucketCount(upper).Load()
				v.Buckets = append(v.Buckets, Bucket{Upper: formatFloat(upper), Count: total})
			}
			v.Value = float64(total)
		}
		samples = append(samples, v)
	}
	return samples
}

// WriteText writes the reported values to w in the text format of Prometheus.
func (s *Set) WriteText(w io.Writer) error {
	var b bytes.Buffer
	last := ""
	for _, v := range s.Samples() {
		if v.Name != last {
			d, _ := s.reg.Lookup(strings.TrimPrefix(v.Name, Prefix))
			fmt.Fprintf(&b, "# HELP %s %s\n# TYPE %s %s\n", v.Name, d.help, v.Name, d.kind)
			last = v.Name
		}
		if v.Kind != KindHistogram {
			fmt.Fprintf(&b, "%s%s %s\n", v.Name, formatLabels(v.Labels), formatFloat(v.Value))
			continue
		}
		for _, bk := range v.Buckets {
			labels := maps.Clone(v.Labels)
			if labels == nil {
				labels = make(map[string]string)
			}
			labels["le"] = bk.Upper
			fmt.Fprintf(&b, "%s_bucket%s %d\n", v.Name, formatLabels(labels), bk.Count)
		}
		fmt.Fprintf(&b, "%s_sum%s %s\n", v.Name, formatLabels(v.Labels), formatFloat(v.Sum))
		fmt.Fprintf(&b, "%s_count%s %s\n", v.Name, formatLabels(v.Labels), formatFloat(v.Value))
	}
	_, err := w.Write(b.Bytes())
	return err
}

// Handler serves /metrics in the text format of Prometheus and /metrics.json in JSON.
func (s *Set) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
		_ = s.WriteText(w) // fails only if the client has disconnected
	})
	mux.HandleFunc("GET /metrics.json", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(s.Samples())
	})
	return mux
}

// headerTimeout is how long a client may take to send its request header, so that idle clients hold no connection open.
const headerTimeout = 5 * time.Second

// Server serves the metrics over HTTP.
type Server struct {
	http *http.Server
	addr net.Addr
	done chan struct{}
}

// Listen serves the metrics of s over HTTP on address until the returned server is closed.
func (s *Set) Listen(ctx context.Context, address string) (*Server, error) {
	l, err := new(net.ListenConfig).Listen(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen for metrics: %w", err)
	}
	srv := &Server{
		http: &http.Server{Handler: s.Handler(), ReadHeaderTimeout: headerTimeout},
		addr: l.Addr(), done: make(chan struct{}),
	}
	go func() {
		defer close(srv.done)
		_ = srv.http.Serve(l) // returns when Close closes the listener
	}()
	return srv, nil
}

// Addr returns the address on which the server listens.
func (s *Server) Addr() net.Addr { return s.addr }

// Close closes the listener and all connections, and waits until the server has ended.
func (s *Server) Close() error {
	err := s.http.Close()
	<-s.done
	return err
}

func formatFloat(v float64) string {
	if math.IsInf(v, 1) {
		return "+Inf"
	}
	return strconv.FormatFloat(v, 'g', -1, 64)
}

var labelEscaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

func formatLabels(labels map[string]string) string {
	if len(labels) == 0 {
		return ""
	}
	var parts []string
	for _, k := range slices.Sorted(maps.Keys(labels)) {
		parts = append(parts, k+`="`+labelEscaper.Replace(labels[k])+`"`)
	}
	return "{" + strings.Join(parts, ",") + "}"
}
