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

// Sample is the value of one metric with one set of label values, as served in JSON.
type Sample struct {
	Name    string            `json:"name"`
	Kind    Kind              `json:"kind"`
	Unit    string            `json:"unit"`
	Labels  map[string]string `json:"labels,omitempty"`
	Value   float64           `json:"value"`
	Sum     float64           `json:"sum,omitempty"`
	Buckets []Bucket          `json:"buckets,omitempty"`
}

// Bucket counts the values up to Upper, those of lower buckets included. Upper is "+Inf" for the last bucket.
type Bucket struct {
	Upper string `json:"upper"`
	Count int64  `json:"count"`
}

// Samples returns the reported values, sorted by name and labels. The value of a histogram is its count.
func (s *Set) Samples() []Sample {
	samples := make([]Sample, 0)
	for _, c := range s.rep.sorted() {
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
				total += c.bound(upper).Load()
				v.Buckets = append(v.Buckets, Bucket{Upper: number(upper), Count: total})
			}
			v.Value = float64(total)
		}
		samples = append(samples, v)
	}
	return samples
}

// WriteText writes the values in the text format of Prometheus.
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
			fmt.Fprintf(&b, "%s%s %s\n", v.Name, labelText(v.Labels), number(v.Value))
			continue
		}
		for _, bk := range v.Buckets {
			labels := maps.Clone(v.Labels)
			if labels == nil {
				labels = make(map[string]string)
			}
			labels["le"] = bk.Upper
			fmt.Fprintf(&b, "%s_bucket%s %d\n", v.Name, labelText(labels), bk.Count)
		}
		fmt.Fprintf(&b, "%s_sum%s %s\n", v.Name, labelText(v.Labels), number(v.Sum))
		fmt.Fprintf(&b, "%s_count%s %s\n", v.Name, labelText(v.Labels), number(v.Value))
	}
	_, err := w.Write(b.Bytes())
	return err
}

// Handler serves /metrics in the text format of Prometheus and /metrics.json in JSON.
func (s *Set) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
		_ = s.WriteText(w) // the client has gone if this fails
	})
	mux.HandleFunc("GET /metrics.json", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(s.Samples())
	})
	return mux
}

// headerTimeout bounds the time in which a client sends its request header, so that idle clients hold no connection.
const headerTimeout = 5 * time.Second

// Server serves the metrics over HTTP.
type Server struct {
	http *http.Server
	addr net.Addr
	done chan struct{}
}

// Listen serves the metrics of s on address. Close ends it.
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

// Addr returns the address that the server listens on.
func (s *Server) Addr() net.Addr { return s.addr }

// Close ends the server and its connections.
func (s *Server) Close() error {
	err := s.http.Close()
	<-s.done
	return err
}

func number(v float64) string {
	if math.IsInf(v, 1) {
		return "+Inf"
	}
	return strconv.FormatFloat(v, 'g', -1, 64)
}

var escaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

func labelText(labels map[string]string) string {
	if len(labels) == 0 {
		return ""
	}
	var parts []string
	for _, k := range slices.Sorted(maps.Keys(labels)) {
		parts = append(parts, k+`="`+escaper.Replace(labels[k])+`"`)
	}
	return "{" + strings.Join(parts, ",") + "}"
}
