package platf

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"verbenagate/core/port"
	"verbenagate/core/result"
	"verbenagate/io/metric"
)

// DefaultTimeout bounds a request whose context has no earlier deadline.
const DefaultTimeout = 2 * time.Second

// maxIdle bounds the idle connections that one VM keeps to the platform.
const maxIdle = 4

// Client calls the platform. It repeats no request by itself, because the effect of a failed one is not known.
type Client struct {
	base      string
	timeout   time.Duration
	http      *http.Client
	transport *http.Transport
	metrics   *metric.Set
}

// Option changes a default of New.
type Option func(*Client)

// WithMetrics sets where requests are counted.
func WithMetrics(set *metric.Set) Option { return func(c *Client) { c.metrics = set } }

var (
	_ port.KeyValueStore = (*Client)(nil)
	_ port.ObjectStore   = (*Client)(nil)
	_ port.VMList        = (*Client)(nil)
)

// New returns a client of the platform at a base URL such as http://10.0.0.1:80. A timeout of 0 stands for
// DefaultTimeout.
func New(base string, timeout time.Duration, opts ...Option) *Client {
	if timeout <= 0 {
		timeout = DefaultTimeout
	}
	t := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: timeout}).DialContext,
		MaxIdleConnsPerHost: maxIdle,
		IdleConnTimeout:     30 * time.Second,
	}
	c := &Client{base: strings.TrimSuffix(base, "/"), timeout: timeout, http: &http.Client{Transport: t}, transport: t}
	for _, f := range opts {
		f(c)
	}
	return c
}

// Close releases the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Get returns a record; an absent one has version 0.
func (c *Client) Get(ctx context.Context, key string) (port.Record, error) {
	var r Record
	err := c.call(ctx, PathGet, GetRequest{Key: key}, &r)
	return port.Record(r), err
}

// List returns up to n records whose keys have the prefix and sort after the key after.
func (c *Client) List(ctx context.Context, prefix, after string, n int) ([]port.Record, error) {
	var ans ListAnswer
	if err := c.call(ctx, PathList, ListRequest{Prefix: prefix, After: after, N: n}, &ans); err != nil {
		return nil, err
	}
	out := make([]port.Record, len(ans.Records))
	for i, r := range ans.Records {
		out[i] = port.Record(r)
	}
	return out, nil
}

// Commit applies all writes if all checks hold.
func (c *Client) Commit(ctx context.Context, checks []port.VersionCheck, writes []port.Write) error {
	req := CommitRequest{Checks: make([]Check, len(checks)), Writes: make([]Write, len(writes))}
	for i, x := range checks {
		req.Checks[i] = Check(x)
	}
	for i, w := range writes {
		req.Writes[i] = Write(w)
	}
	return c.call(ctx, PathCommit, req, nil)
}

// PutObject stores an object.
func (c *Client) PutObject(ctx context.Context, name string, body []byte) error {
	_, err := c.do(ctx, http.MethodPut, PathObjects+"?name="+url.QueryEscape(name), body)
	return err
}

// GetObject returns an object; the code of the error is result.NotFound if it does not exist.
func (c *Client) GetObject(ctx context.Context, name string) ([]byte, error) {
	return c.do(ctx, http.MethodGet, PathObjects+"?name="+url.QueryEscape(name), nil)
}

// VMs returns the list of VMs.
func (c *Client) VMs(ctx context.Context) ([]port.VM, error) {
	body, err := c.do(ctx, http.MethodGet, PathVMs, nil)
	if err != nil {
		return nil, err
	}
	var ans VMsAnswer
	if err := json.Unmarshal(body, &ans); err != nil {
		return nil, result.Wrap(result.StoreUnavailable, err, "the platform's list of VMs is not valid JSON")
	}
	out := make([]port.VM, len(ans.VMs))
	for i, v := range ans.VMs {
		out[i] = port.VM(v)
	}
	return out, nil
}

// Register adds the VM to the list and renews its entry for ttl.
func (c *Client) Register(ctx context.Context, vm port.VM, ttl time.Duration) error {
	return c.call(ctx, PathRegister, RegisterRequest{VM: VM(vm), TTLMilli: ttl.Milliseconds()}, nil)
}

// Deregister removes the VM from the list.
func (c *Client) Deregister(ctx context.Context, id string) error {
	return c.call(ctx, PathDeregister, DeregisterRequest{ID: id}, nil)
}

// call posts a JSON request and reads a JSON answer unless ans is nil.
func (c *Client) call(ctx context.Context, path string, req, ans any) error {
	body, err := json.Marshal(req)
	if err != nil {
		return result.Wrap(result.Internal, err, "encode the request to %s", path)
	}
	body, err = c.do(ctx, http.MethodPost, path, body)
	if err != nil || ans == nil {
		return err
	}
	if err := json.Unmarshal(body, ans); err != nil {
		return result.Wrap(result.StoreUnavailable, err, "the platform's answer to %s is not valid JSON", path)
	}
	return nil
}

// do sends one request and measures it.
func (c *Client) do(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	began := time.Now()
	answer, err := c.send(ctx, method, path, body)
	op := operation(method, path)
	c.metrics.Counter(metric.StoreRequests, op, result.CodeOf(err).String()).Inc(1)
	c.metrics.Histogram(metric.StoreSeconds, op).Observe(time.Since(began).Seconds())
	return answer, err
}

// operation names a request in metrics. The two operations on objects differ by their method alone.
func operation(method, path string) string {
	path, _, _ = strings.Cut(path, "?")
	if path == PathObjects {
		return strings.ToLower(method) + "_object"
	}
	return strings.ReplaceAll(strings.Trim(path, "/"), "/", "_")
}

// send sends one request. The error's code is result.StoreUnavailable whenever the effect is not known.
func (c *Client) send(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, result.Wrap(result.Internal, err, "request to the platform")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, result.Wrap(result.StoreUnavailable, err, "%s %s: no answer from the platform", method, path)
	}
	defer func() { _ = resp.Body.Close() }()
	got, err := io.ReadAll(io.LimitReader(resp.Body, MaxBody+1))
	if err != nil {
		return nil, result.Wrap(result.StoreUnavailable, err, "%s %s: incomplete answer from the platform", method, path)
	}
	if len(got) > MaxBody {
		return nil, result.New(result.TooLarge, "%s %s: the answer exceeds %d bytes", method, path, MaxBody)
	}
	if resp.StatusCode == http.StatusOK {
		return got, nil
	}
	return nil, problem(method+" "+path, resp.StatusCode, got)
}

// problem turns an HTTP status into an error with a result code.
func problem(what string, status int, body []byte) error {
	var p Problem
	if json.Unmarshal(body, &p) != nil || p.Message == "" {
		p.Message = http.StatusText(status)
	}
	code := result.StoreUnavailable
	switch status {
	case http.StatusConflict:
		code = result.RevisionConflict
	case http.StatusNotFound:
		code = result.NotFound
	case http.StatusBadRequest:
		code = result.Internal
	case http.StatusRequestEntityTooLarge:
		code = result.TooLarge
	}
	return result.New(code, "%s: %s (status %d)", what, p.Message, status)
}
