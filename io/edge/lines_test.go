package edge_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"verbenagate/io/edge"
)

// blockedWriter is an output that takes nothing until it is released.
type blockedWriter struct{ released chan struct{} }

func (w blockedWriter) Write(b []byte) (int, error) {
	<-w.released
	return len(b), nil
}

// Guards against long lines that pile up in memory while the output takes none.
func TestQueuedLinesAreBoundedInBytes(t *testing.T) {
	out := blockedWriter{released: make(chan struct{})}
	w := edge.NewLogWriter(out, 1000)
	line := []byte(strings.Repeat("l", 1<<20))
	for range 100 {
		_, _ = w.Write(line)
	}
	if dropped := w.Dropped(); dropped < 96 {
		t.Errorf("%d of 100 lines of 1 MiB are dropped", dropped)
	}
	close(out.released)
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
}

// Guards against a panic of the whole process when a goroutine still logs while the VM stops. The lines written after Close are
// dropped and counted.
func TestWritesDuringCloseAreDropped(t *testing.T) {
	var out bytes.Buffer
	w := edge.NewLogWriter(&out, 1000)
	if _, err := w.Write([]byte("first\n")); err != nil {
		t.Fatal(err)
	}
	var writers sync.WaitGroup
	for range 4 {
		writers.Go(func() {
			for range 50 {
				_, _ = w.Write([]byte("second\n"))
			}
		})
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	writers.Wait()
	if _, err := w.Write([]byte("third\n")); err != nil {
		t.Fatal(err)
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	written := strings.Count(out.String(), "\n")
	if !strings.HasPrefix(out.String(), "first\n") || strings.Contains(out.String(), "third") {
		t.Fatalf("unexpected lines: %q", out.String())
	}
	if want := int64(202 - written); w.Dropped() != want {
		t.Fatalf("%d lines dropped, want %d", w.Dropped(), want)
	}
}
