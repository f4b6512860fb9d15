package fleet

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"
)

var (
	seedFlag   = flag.Uint64("fleet.seed", 1, "seed of the disruptions")
	lengthFlag = flag.Duration("fleet.length", 25*time.Second, "length of the disruptions")
	vmsFlag    = flag.Int("fleet.vms", 4, "VMs in each of two data centres")
	keepFlag   = flag.String("fleet.logs", "", "folder that keeps the logs of the VMs")
)

// Bounds of the users' small deployments: a configuration is in force applyTime after its acknowledgement at each VM that nothing
// has disturbed for stableTime.
const (
	applyTime  = 3 * time.Second
	stableTime = 4 * time.Second
	stormGap   = 300 * time.Millisecond
	probeGap   = 60 * time.Millisecond
	// databaseLifetime is how many versions a database stays in the configuration, and probedAfter how many later versions ask for it.
	databaseLifetime = 40
	probedAfter      = 60
)

// storm changes the configuration again and again, and knows which databases each VM must know.
type storm struct {
	f  *Fleet
	mu sync.Mutex
	// added and removed hold, by database, the acknowledgement of the version that added or removed it, and sent when the version
	// that removes it was sent.
	added, removed, sent map[string]time.Time
	names                []string
}

func databaseName(n int) string { return fmt.Sprintf("db%04d", n) }

// run changes the configuration until done is closed. Each version adds a database and drops the oldest one.
func (s *storm) run(done <-chan struct{}) {
	for n := 0; ; n++ {
		s.mu.Lock()
		s.names = append(s.names, databaseName(n))
		inForce := s.names[max(0, len(s.names)-databaseLifetime):]
		if n >= databaseLifetime {
			s.sent[databaseName(n-databaseLifetime)] = time.Now()
		}
		s.mu.Unlock()
		_, acknowledged := s.f.Configure(inForce)
		s.mu.Lock()
		s.added[databaseName(n)] = acknowledged
		if n >= databaseLifetime {
			s.removed[databaseName(n-databaseLifetime)] = acknowledged
		}
		s.mu.Unlock()
		select {
		case <-done:
			return
		case <-time.After(stormGap):
		}
	}
}

// choose returns a database to ask for.
func (s *storm) choose(r *rand.Rand) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.names) == 0 {
		return databaseName(0)
	}
	return s.names[max(0, len(s.names)-1-r.IntN(databaseLifetime+probedAfter))]
}

// breach returns what is wrong with an answer to a request sent at from and answered at to, "" if nothing is.
func (s *storm) breach(database string, known bool, from, to time.Time) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	added, wasAdded := s.added[database]
	removed, wasRemoved := s.removed[database]
	sent, isBeingRemoved := s.sent[database]
	switch {
	case !known && wasAdded && from.Sub(added) > applyTime && (!isBeingRemoved || to.Before(sent)):
		return fmt.Sprintf("%s is refused %s after the version that added it", database, from.Sub(added).Round(time.Millisecond))
	case known && wasRemoved && from.Sub(removed) > applyTime:
		return fmt.Sprintf("%s is served %s after the version that dropped it", database, from.Sub(removed).Round(time.Millisecond))
	}
	return ""
}

// disturbances knows when each VM was disturbed last.
type disturbances struct {
	mu      sync.Mutex
	ongoing map[string]int
	ended   map[string]time.Time
}

func (d *disturbances) start(vm string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ongoing[vm]++
}

func (d *disturbances) end(vm string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ongoing[vm]--
	d.ended[vm] = time.Now()
}

// calm reports whether nothing has disturbed the VM for stableTime before from and since then.
func (d *disturbances) calm(vm string, from time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ongoing[vm] == 0 && from.Sub(d.ended[vm]) > stableTime
}

// disturb plays one disruption of a VM.
func (d *disturbances) disturb(v *VM, kind int, length time.Duration) {
	d.start(v.Name())
	defer d.end(v.Name())
	switch kind {
	case 0, 1: // Half of the disruptions lose answers of the store.
		v.Link().Silence(true)
		time.Sleep(length)
		v.Link().Silence(false)
	case 2:
		v.Link().Reset()
	case 3:
		v.Kill()
		time.Sleep(length / 4)
		_ = v.Start()
	case 4:
		_ = v.Signal(syscall.SIGSTOP)
		time.Sleep(length)
		_ = v.Signal(syscall.SIGCONT)
	}
}

// Guards against VMs that refuse a database which the operators have added, or serve one that they have dropped, because they or the
// VM that reads the configuration for them lost answers of the store, were stopped or killed. Real processes run on the machine.
func TestConfigurationUnderDisruptions(t *testing.T) {
	dir := t.TempDir()
	if *keepFlag != "" {
		dir = *keepFlag
		if err := os.MkdirAll(dir, 0o700); err != nil {
			t.Fatal(err)
		}
	}
	program, err := Build(dir)
	if err != nil {
		t.Fatal(err)
	}
	f, err := Start(dir, program, 2, *vmsFlag)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	s := &storm{f: f, added: make(map[string]time.Time), removed: make(map[string]time.Time), sent: make(map[string]time.Time)}
	done := make(chan struct{})
	var background sync.WaitGroup
	background.Go(func() { s.run(done) })
	if err := f.AwaitReady(); err != nil {
		t.Fatal(err)
	}
	d := &disturbances{ongoing: make(map[string]int), ended: make(map[string]time.Time)}
	var mu sync.Mutex
	breaches, probes := make(map[string][]string), 0
	began := time.Now()
	for i, v := range f.VMs() {
		d.ended[v.Name()] = time.Now()
		background.Go(func() {
			random := rand.New(rand.NewPCG(*seedFlag, uint64(i)))
			for {
				select {
				case <-done:
					return
				case <-time.After(probeGap):
				}
				database, from := s.choose(random), time.Now()
				known, err := v.OpenSession(database)
				if err != nil || !d.calm(v.Name(), from) {
					continue
				}
				text := s.breach(database, known, from, time.Now())
				mu.Lock()
				probes++
				if text != "" {
					breaches[v.Name()] = append(breaches[v.Name()], fmt.Sprintf("%.3f %s", time.Since(began).Seconds(), text))
				}
				mu.Unlock()
			}
		})
	}
	disrupt(f, d, began)
	time.Sleep(stableTime + applyTime)
	close(done)
	background.Wait()
	if probes == 0 {
		t.Fatal("no VM was asked while nothing disturbed it")
	}
	t.Logf("seed %d: %d answers of undisturbed VMs", *seedFlag, probes)
	for vm, all := range breaches {
		slices.Sort(all)
		t.Errorf("VM %s: %d breaches, first %s, last %s; log %s", vm, len(all), all[0], all[len(all)-1], filepath.Join(dir, vm+".log"))
	}
}

// disrupt plays overlapping disruptions of single VMs until the length of the test is over.
func disrupt(f *Fleet, d *disturbances, began time.Time) {
	random := rand.New(rand.NewPCG(*seedFlag, 1<<32))
	var running sync.WaitGroup
	for time.Since(began) < *lengthFlag {
		v := f.VMs()[random.IntN(len(f.VMs()))]
		kind, length := random.IntN(5), 200*time.Millisecond+time.Duration(random.Float64()*float64(6*time.Second))
		running.Go(func() { d.disturb(v, kind, length) })
		time.Sleep(time.Duration(random.Float64() * float64(3*time.Second)))
	}
	running.Wait()
}
