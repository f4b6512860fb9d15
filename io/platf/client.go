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

// DefaultTimeout is the time limit of a request if New is called without one. An earlier deadline of the context applies
// too.
const DefaultTimeout = 2 * time.Second

// maxIdleConns bounds the idle connections that one VM keeps to the platform.
const maxIdleConns = 4

// Client sends requests to the platform. It never retries a failed request, because it does not know whether the request
// took effect.
type Client struct {
	baseURL   string
	timeout   time.Duration
	http      *http.Client
	transport *http.Transport
	metrics   *metric.Set
}

// Option changes a default setting of New.
type Option func(*Client)

// WithMetrics makes the client count and time its requests in set.
func WithMetrics(set *metric.Set) Option { return func(c *Client) { c.metrics = set } }

var (
	_ port.KeyValueStore = (*Client)(nil)
	_ port.ObjectStore   = (*Client)(nil)
	_ port.VMList        = (*Client)(nil)
)

// New returns a client of the platform at a base URL such as http://10.0.0.1:80. The timeout limits each request; 0
// means DefaultTimeout.
func New(baseURL string, timeout time.Duration, opts ...Option) *Client {
	if timeout <= 0 {
		timeout = DefaultTimeout
	}
	t := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: timeout}).DialContext,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     30 * time.Second,
	}
	c := &Client{baseURL: strings.TrimSuffix(baseURL, "/"), timeout: timeout, http: &http.Client{Transport: t}, transport: t}
	for _, f := range opts {
		f(c)
	}
	return c
}

// Close closes the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Get returns the record of a key, with version 0 if it does not exist.
func (c *Client) Get(ctx context.Context, key string) (port.Record, error) {
	var r Record
	err := c.postJSON(ctx, PathGet, GetRequest{Key: key}, &r)
	return port.Record(r), err
}

// List returns up to n records whose keys start with prefix and sort after the key after.
func (c *Client) List(ctx context.Context, prefix, after string, n int) ([]port.Record, error) {
	var ans ListAnswer
	if err := c.postJSON(ctx, PathList, ListRequest{Prefix: prefix, After: after, N: n}, &ans); err != nil {
		return nil, err
	}
	out := make([]port.Record, len(ans.Records))
	for i, r := range ans.Records {
		out[i] = port.Record(r)
	}
	return out, nil
}

// Commit applies all writes atomically if all checks hold. The error's code is result.RevisionConflict if a check fails,
// and result.StoreUnavailable if it is not known whether the writes took effect.
func (c *Client) Commit(ctx context.Context, checks []port.VersionCheck, writes []port.Write) error {
	req := CommitRequest{Checks: make([]Check, len(checks)), Writes: make([]Write, len(writes))}
	for i, x := range checks {
		req.Checks[i] = Check(x)
	}
	for i, w := range writes {
		req.Writes[i] = Write(w)
	}
	return c.postJSON(ctx, PathCommit, req, nil)
}

// PutObject stores body as the object with this name.
func (c *Client) PutObject(ctx context.Context, name string, body []byte) error {
	_, err := c.sendMeasured(ctx, http.MethodPut, PathObjects+"?name="+url.QueryEscape(name), body)
	return err
}

// GetObject returns the body of the object with this name. The error's code is result.NotFound if it does not exist.
func (c *Client) GetObject(ctx context.Context, name string) ([]byte, error) {
	return c.sendMeasured(ctx, http.MethodGet, PathObjects+"?name="+url.QueryEscape(name), nil)
}

// VMs returns the platform's list of VMs.
func (c *Client) VMs(ctx context.Context) ([]port.VM, error) {
	body, err := c.sendMeasured(ctx, http.MethodGet, PathVMs, nil)
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

// Register adds the VM to the platform's list, or renews its entry, for the duration ttl.
func (c *Client) Register(ctx context.Context, vm port.VM, ttl time.Duration) error {
	return c.postJSON(ctx, PathRegister, RegisterRequest{VM: VM(vm), TTLMilli: ttl.Milliseconds()}, nil)
}

// Deregister removes the VM with this ID from the platform's list.
func (c *Client) Deregister(ctx context.Context, id string) error {
	return c.postJSON(ctx, PathDeregister, DeregisterRequest{ID: id}, nil)
}

// postJSON posts req as JSON and decodes the JSON answer into ans. If ans is nil, it ignores the answer.
func (c *Client) postJSON(ctx context.Context, path string, req, ans any) error {
	body, err := json.Marshal(req)
	if err != nil {
		return result.Wrap(result.Internal, err, "cannot encode the request to %s as JSON", path)
	}
	body, err = c.sendMeasured(ctx, http.MethodPost, path, body)
	if err != nil || ans == nil {
		return err
	}
	if err := json.Unmarshal(body, ans); err != nil {
		return result.Wrap(result.StoreUnavailable, err, "the platform's answer to %s is not valid JSON", path)
	}
	return nil
}

// sendMeasured sends one request, and records its result code and its duration in the metrics.
func (c *Client) sendMeasured(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	start := time.Now()
	answer, err := c.send(ctx, method, path, body)
	op := operationLabel(method, path)
	c.metrics.Counter(metric.StoreRequests, op, result.CodeOf(err).String()).Inc(1)
	c.metrics.Histogram(metric.StoreSeconds, op).Observe(time.Since(start).Seconds())
	return answer, err
}

// operationLabel returns the metric label of a request, such as table_get. Reads and writes of objects have the same
// path, so their labels contain the method.
func operationLabel(method, path string) string {
	path, _, _ = strings.Cut(path, "?")
	if path == PathObjects {
		return strings.ToLower(method) + "_object"
	}
	return strings.ReplaceAll(strings.Trim(path, "/"), "/", "_")
}

// send sends one request and returns the body of the answer. The error's code is result.StoreUnavailable if it is not
// known whether the request took effect.
func (c *Client) send(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return nil, result.Wrap(result.Internal, err, "cannot create the request to the platform")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, result.Wrap(result.StoreUnavailable, err, "%s %s: no answer from the platform", method, path)
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, MaxBody+1))
	if err != nil {
		return nil, result.Wrap(result.StoreUnavailable, err, "%s %s: incomplete answer from the platform", method, path)
	}
	if len(answer) > MaxBody {
		return nil, result.New(result.TooLarge, "%s %s: the answer exceeds %d bytes", method, path, MaxBody)
	}
	if resp.StatusCode == http.StatusOK {
		return answer, nil
	}
	return nil, errorFromStatus(method+" "+path, resp.StatusCode, answer)
}

// errorFromStatus returns an error with the result code that the HTTP status stands for. Its message contains the
// message of the body or, if the body has none, the text of the status.
func errorFromStatus(request string, status int, body []byte) error {
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
	return result.New(code, "%s: the platform answered: %s (HTTP status %d)", request, p.Message, status)
}
