package platf_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"verbenagate/core/result"
	"verbenagate/io/platf"
)

// clientOfServer returns a client of a server that answers every request with this status and body.
func clientOfServer(t *testing.T, status int, body string) *platf.Client {
	t.Helper()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}))
	t.Cleanup(srv.Close)
	return platf.New("http://"+srv.Listener.Addr().String(), 0)
}

// Guards against an HTTP status or a truncated body that is reported with a wrong result code.
func TestStatusCodes(t *testing.T) {
	g := NewWithT(t)
	for status, code := range map[int]result.Code{
		http.StatusOK: result.OK, http.StatusConflict: result.RevisionConflict, http.StatusNotFound: result.NotFound,
		http.StatusServiceUnavailable: result.StoreUnavailable, http.StatusInternalServerError: result.StoreUnavailable,
		http.StatusTooManyRequests: result.StoreUnavailable, http.StatusRequestEntityTooLarge: result.TooLarge,
	} {
		err := clientOfServer(t, status, "").Commit(context.Background(), nil, nil)
		g.Expect(result.CodeOf(err)).To(Equal(code), fmt.Sprint(status))
	}
	_, err := clientOfServer(t, http.StatusOK, "{").Get(context.Background(), "k")
	g.Expect(result.CodeOf(err)).To(Equal(result.StoreUnavailable), "truncated answer")
}

// Guards against a request that hangs when its context has no deadline.
func TestTimeout(t *testing.T) {
	g := NewWithT(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0") // the kernel accepts connections, but nothing answers requests
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = ln.Close() }()
	c := platf.New("http://"+ln.Addr().String(), 50*time.Millisecond)
	_, err = c.VMs(context.Background())
	g.Expect(result.CodeOf(err)).To(Equal(result.StoreUnavailable))
}

// A platform that cannot be reached gives the code store_unavailable.
func Example() {
	c := platf.New("http://127.0.0.1:1", time.Second)
	defer c.Close()
	_, err := c.Get(context.Background(), "config/head")
	fmt.Println(result.CodeOf(err))
	// Output: store_unavailable
}
