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

// watchTime is how long status polls are counted.
const watchTime = 6 * time.Second

var watchGroups = Measurement{
	name: "watch-groups", x: "groups", help: "watching groups of three servers, with the default settings",
	sizes: []int{1, 2, 3, 5, 10, 20}, tiny: 1,
	run: func(ctx context.Context, n int) ([]Value, error) {
		return watch(ctx, n, 100*time.Millisecond, new(group.PollBudget))
	},
}

var watchPolls = Measurement{
	name: "watch-polls", x: "polls/s", help: "watching ten groups of three servers, against the polls of each server per second",
	sizes: []int{1, 2, 5, 10, 20}, tiny: 10,
	run: func(ctx context.Context, n int) ([]Value, error) {
		return watch(ctx, 10, time.Second/time.Duration(n), nil)
	},
}

// watch watches groups that share three servers, each group over its own control connections.
func watch(ctx context.Context, groups int, interval time.Duration, budget *group.PollBudget) ([]Value, error) {
	b := &bench{}
	defer b.close()
	var err error
	as(ctx, roleLab, func() { err = b.startLab(plan{servers: spread(3, 3), slots: 5}) })
	if err != nil {
		return nil, err
	}
	before := memory()
	var watchers []*group.Group
	defer func() {
		for _, g := range watchers {
			g.Close()
		}
	}()
	as(ctx, roleVM, func() {
		for i := range groups {
			watchers = append(watchers, b.newWatcher(definition(i, 1, ""), interval, budget))
		}
	})
	for _, g := range watchers {
		if _, err := g.Barrier(ctx); err != nil {
			return nil, err
		}
	}
	held := memory()
	var bytes float64
	var begin, end usage
	roles, err := byRole(func() error {
		from := b.serverBytes()
		begin = used()
		err := wait(ctx, span(ctx, watchTime))
		end = used()
		bytes = b.serverBytes() - from
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

func (b *bench) newWatcher(spec svcdef.Spec, interval time.Duration, budget *group.PollBudget) *group.Group {
	svc := svcdef.New(spec)
	index := map[string]string{}
	for i, s := range svc.Servers() {
		index[s.Address()] = b.toServers[i].addr()
	}
	return group.New(group.Config{
		Service: svc, VM: "vm", Now: time.Now, Logger: noLog{}, IsRefused: ctrl.IsConnectionRefused,
		Settings: group.Settings{
			Interval: interval, Budget: budget, StatusTimeout: time.Second, Limits: failov.NewLimits(time.Minute, time.Second, 1000),
		},
		Dial: func(address string) group.Server {
			return ctrl.New(index[address], svc.Database(), svc.Login(), "slope")
		},
		PeerAssessments: func(context.Context) []failov.Health { return nil }, Rank: func() int { return 0 },
		Quiesce: func(context.Context, string) bool { return false },
		Table:   platf.New("http://"+b.toStore.addr(), time.Second),
	})
}

func wire(relays []*relay) float64 {
	var n float64
	for _, r := range relays {
		n += r.wire()
	}
	return n
}

// serverBytes returns the bytes on the connections to the servers.
func (b *bench) serverBytes() float64 { return wire(b.toServers) }
