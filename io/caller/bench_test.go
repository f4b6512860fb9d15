package caller

import (
	"crypto/tls"
	"io"
	"net"
	"runtime"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
)

// BenchmarkIdleCallers reports the memory of an idle caller that has run one unit. The figure includes both ends of its
// connection, so a VM needs less.
func BenchmarkIdleCallers(b *testing.B) {
	b.Run("plain", func(b *testing.B) { benchmarkIdle(b, 2000, false) })
	b.Run("tls", func(b *testing.B) { benchmarkIdle(b, 1000, true) })
}

func benchmarkIdle(b *testing.B, callers int, encrypted bool) {
	s := startServer(b, newFakeBackend(), WithTLS(&tls.Config{Certificates: []tls.Certificate{certificate(b)}}))
	for b.Loop() {
		before, routines := memoryInUse(), runtime.NumGoroutine()
		var open []net.Conn
		for range callers {
			nc, err := net.Dial("tcp", s.Addr().String())
			if err != nil {
				b.Fatal(err)
			}
			if encrypted {
				nc = encryptedClient(b, nc)
			}
			c, err := loginOver(nc, nil)
			if err != nil {
				b.Fatal(err)
			}
			if _, err := c.Write(message("query SELECT 1")); err != nil {
				b.Fatal(err)
			}
			for range 4 {
				if _, err := c.Receive(); err != nil {
					b.Fatal(err)
				}
			}
			// Keeps only the connection, because the client's buffers would add to the server's memory.
			open = append(open, nc)
		}
		b.ReportMetric(float64(memoryInUse()-before)/float64(callers), "bytes/caller")
		b.ReportMetric(float64(runtime.NumGoroutine()-routines)/float64(callers), "goroutines/caller")
		for _, c := range open {
			_ = c.Close()
		}
		for s.Len() > 0 {
			runtime.Gosched()
		}
	}
}

func memoryInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}

func encryptedClient(b *testing.B, nc net.Conn) net.Conn {
	request, _ := (&pgproto3.SSLRequest{}).Encode(nil)
	var yes [1]byte
	if _, err := nc.Write(request); err != nil {
		b.Fatal(err)
	}
	if _, err := io.ReadFull(nc, yes[:]); err != nil || yes[0] != 'S' {
		b.Fatal(err, yes)
	}
	return tls.Client(nc, &tls.Config{InsecureSkipVerify: true})
}
