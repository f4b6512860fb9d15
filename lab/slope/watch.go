package slope

import (
	"context"
	"time"

	"verbenagate/core/failov"
	"verbenagate/core/svcdef"
	"verbenagate/io/ctrl"
	"verbenagate/io/group"
	"verbenagate/io/platf"
)

// watchDuration is how long the cost of status polls is measured.
const watchDuration = 6 * time.Second

var watchGroups = Measurement{
	name: "watch-groups", x: "groups", help: "watching groups of three servers, with the default settings",
	sizes: []int{1, 2, 3, 5, 10, 20}, tiny: 1,
	run: func(ctx context.Context, n int) ([]Value, error) {
		return measureWatch(ctx, n, 100*time.Millisecond, new(group.PollBudget))
	},
}

var watchPolls = Measurement{
	name: "watch-polls", x: "polls/s", help: "watching ten groups of three servers, against the polls per second of each server",
	sizes: []int{1, 2, 5, 10, 20}, tiny: 10,
	run: func(ctx context.Context, n int) ([]Value, error) {
		return measureWatch(ctx, 10, time.Second/time.Duration(n), nil)
	},
}

// measureWatch measures a number of watched groups. All groups share the same three servers; each has its own control
// connections.
func measureWatch(ctx context.Context, groups int, interval time.Duration, budget *group.PollBudget) ([]Value, error) {
	d := &deployment{}
	defer d.close()
	var err error
	withRole(ctx, roleLab, func() { err = d.startLab(plan{servers: spread(3, 3), slots: 5}) })
	if err != nil {
		return nil, err
	}
	before := memoryInUse()
	var watchers []*group.Group
	defer func() {
		for _, g := range watchers {
			g.Close()
		}
	}()
	withRole(ctx, roleVM, func() {
		for i := range groups {
			watchers = append(watchers, d.newWatcher(definition(i, 1, ""), interval, budget))
		}
	})
	for _, g := range watchers {
		if _, err := g.Barrier(ctx); err != nil {
			return nil, err
		}
	}
	held := memoryInUse()
	var bytes float64
	var begin, end usage
	roles, err := cpuByRole(func() error {
		from := d.serverBytes()
		begin = currentUsage()
		err := sleep(ctx, scaledDuration(ctx, watchDuration))
		end = currentUsage()
		bytes = d.serverBytes() - from
		return err
	})
	if err != nil {
		return nil, err
	}
	secs := end.at.Sub(begin.at).Seconds()
	return []Value{
		{"bytes, both ways, with TCP and IP", "B/s", bytes / secs},
		{"CPU of the VM", "% of a core", 100 * roles[roleVM] / secs},
		{"CPU of the process by getrusage", "% of a core", 100 * (end.cpu - begin.cpu).Seconds() / secs},
		{"memory, servers' side included", "KB", (held - before) / 1e3},
	}, nil
}

func (d *deployment) newWatcher(spec svcdef.Spec, interval time.Duration, budget *group.PollBudget) *group.Group {
	svc := svcdef.New(spec)
	index := map[string]string{}
	for i, s := range svc.Servers() {
		index[s.Address()] = d.serverRelays[i].addr()
	}
	return group.New(group.Config{
		Service: svc, VM: "vm", Now: time.Now, Logger: discardLogger{}, IsRefused: ctrl.IsConnectionRefused,
		Settings: group.Settings{
			Interval: interval, Budget: budget, StatusTimeout: time.Second, Limits: failov.NewLimits(time.Minute, time.Second, 1000),
		},
		Dial: func(address string) group.Server {
			return ctrl.New(index[address], svc.Database(), svc.Login(), "slope")
		},
		PeerAssessments: func(context.Context) []failov.Health { return nil }, Rank: func() int { return 0 },
		Quiesce: func(context.Context, string) bool { return false },
		Table:   platf.New("http://"+d.platformRelay.addr(), time.Second),
	})
}

func totalWireBytes(relays []*relay) float64 {
	var n float64
	for _, r := range relays {
		n += r.wireBytes()
	}
	return n
}

// serverBytes returns the bytes transferred so far on the connections to the servers, with the overhead of TCP and IP.
func (d *deployment) serverBytes() float64 { return totalWireBytes(d.serverRelays) }
