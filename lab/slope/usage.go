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

// Roles of goroutines in a measurement, set as pprof labels. A goroutine inherits the role of the goroutine that starts it.
const (
	roleLabel  = "role"
	roleCaller = "callers' VM"
	roleOwner  = "owner VM"
	roleVM     = "VM"
	roleLab    = "lab"
)

// withRole runs f and assigns its CPU time, and that of the goroutines that it starts, to a role.
func withRole(ctx context.Context, role string, f func()) {
	pprof.Do(ctx, pprof.Labels(roleLabel, role), func(context.Context) { f() })
}

// usage is the CPU time of the process and its allocations, in number and bytes, from its start to the time at.
type usage struct {
	at      time.Time
	cpu     time.Duration
	mallocs uint64
	bytes   uint64
}

func currentUsage() usage {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u) // never fails for the own process
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return usage{
		at: time.Now(), cpu: time.Duration(u.Utime.Nano() + u.Stime.Nano()), mallocs: m.Mallocs, bytes: m.TotalAlloc,
	}
}

// memoryInUse returns the bytes of heap and stacks in use after a garbage collection.
func memoryInUse() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse + m.StackInuse)
}

// residentBytes returns the resident memory of the process in bytes, or 0 if it cannot be read.
func residentBytes() float64 {
	b, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	f := strings.Fields(string(b))
	pages, _ := strconv.ParseFloat(f[1], 64)
	return pages * float64(os.Getpagesize())
}

// cpuByRole profiles the CPU while f runs and returns the seconds that each role used. CPU time without a role, which is
// mostly that of the garbage collector, is divided among the roles in proportion to their own CPU time.
func cpuByRole(f func() error) (map[string]float64, error) {
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

func describeMachine() string {
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
	return fmt.Sprintf("go test ./lab/slope -run TestSlope -count=1 -v -slope.name=%s -slope.sizes=%s", name, joinSizes(sizes))
}

func joinSizes(sizes []int) string {
	var s []string
	for _, n := range sizes {
		s = append(s, strconv.Itoa(n))
	}
	return strings.Join(s, ",")
}

// quickKey is the context key that Quick sets.
type quickKey struct{}

// Quick returns a context that shortens measurements, to check that they work. Their figures are meaningless.
func Quick(ctx context.Context) context.Context { return context.WithValue(ctx, quickKey{}, true) }

// quickDuration is the longest duration that scaledDuration returns in a quick run.
const quickDuration = 200 * time.Millisecond

// scaledDuration returns d, or at most quickDuration in a quick run.
func scaledDuration(ctx context.Context, d time.Duration) time.Duration {
	if ctx.Value(quickKey{}) != nil {
		return min(d, quickDuration)
	}
	return d
}

// sleep waits for d. It returns the error of ctx if ctx is done first.
func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
