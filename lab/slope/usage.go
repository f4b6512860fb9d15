package slope

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"runtime"
	"runtime/pprof"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/google/pprof/profile"
)

// Roles of goroutines in a measurement. A goroutine takes over the role of the one that starts it.
const (
	roleLabel  = "role"
	roleCaller = "callers' VM"
	roleOwner  = "owner VM"
	roleVM     = "VM"
	roleLab    = "lab"
)

// as runs f with the CPU time of f, and of the goroutines that it starts, counted for a role.
func as(ctx context.Context, role string, f func()) {
	pprof.Do(ctx, pprof.Labels(roleLabel, role), func(context.Context) { f() })
}

// usage is what the process had used at one time.
type usage struct {
	at      time.Time
	cpu     time.Duration
	mallocs uint64
	bytes   uint64
}

func used() usage {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u) // never fails for the own process
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return usage{
		at: time.Now(), cpu: time.Duration(u.Utime.Nano() + u.Stime.Nano()), mallocs: m.Mallocs, bytes: m.TotalAlloc,
	}
}

// memory returns the heap and the stacks in use after garbage collection.
func memory() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse + m.StackInuse)
}

// resident returns the resident memory of the process.
func resident() float64 {
	b, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	f := strings.Fields(string(b))
	pages, _ := strconv.ParseFloat(f[1], 64)
	return pages * float64(os.Getpagesize())
}

// byRole profiles the CPU while f runs and returns the seconds that each role used. Work without a role, which is
// mostly that of the garbage collector, is divided among the roles in proportion to their own.
func byRole(f func() error) (map[string]float64, error) {
	var buf bytes.Buffer
	if err := pprof.StartCPUProfile(&buf); err != nil {
		return nil, err
	}
	err := f()
	pprof.StopCPUProfile()
	if err != nil {
		return nil, err
	}
	p, err := profile.Parse(&buf)
	if err != nil {
		return nil, err
	}
	roles, rest, total := map[string]float64{}, 0.0, 0.0
	for _, s := range p.Sample {
		secs := float64(s.Value[1]) / 1e9
		if l := s.Label[roleLabel]; len(l) > 0 {
			roles[l[0]] += secs
			total += secs
		} else {
			rest += secs
		}
	}
	for role := range roles {
		roles[role] *= 1 + rest/total
	}
	return roles, nil
}

func loadAverage() float64 {
	b, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0
	}
	v, _ := strconv.ParseFloat(strings.Fields(string(b))[0], 64)
	return v
}

func machine() string {
	model := "unknown processor"
	if b, err := os.ReadFile("/proc/cpuinfo"); err == nil {
		for _, line := range strings.Split(string(b), "\n") {
			if k, v, ok := strings.Cut(line, ":"); ok && strings.TrimSpace(k) == "model name" {
				model = strings.TrimSpace(v)
				break
			}
		}
	}
	return fmt.Sprintf("%s %s/%s, %d cores, %s", runtime.Version(), runtime.GOOS, runtime.GOARCH, runtime.NumCPU(), model)
}

func command(name string, sizes []int) string {
	return fmt.Sprintf("go test ./lab/slope -run TestSlope -count=1 -v -slope.name=%s -slope.sizes=%s", name, join(sizes))
}

func join(sizes []int) string {
	var s []string
	for _, n := range sizes {
		s = append(s, strconv.Itoa(n))
	}
	return strings.Join(s, ",")
}

// quickKey marks contexts of runs that only show that a measurement works.
type quickKey struct{}

// Quick makes measurements with the context so short that their figures mean nothing.
func Quick(ctx context.Context) context.Context { return context.WithValue(ctx, quickKey{}, true) }

// quickSpan replaces the spans of quick runs.
const quickSpan = 200 * time.Millisecond

// span returns how long a part of a measurement takes.
func span(ctx context.Context, d time.Duration) time.Duration {
	if ctx.Value(quickKey{}) != nil {
		return min(d, quickSpan)
	}
	return d
}

// wait waits for d, or until ctx ends.
func wait(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
