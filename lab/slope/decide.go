package slope

import (
	"context"
	"fmt"
	"time"

	"verbenagate/core/member"
	"verbenagate/core/point"
	"verbenagate/core/port"
	"verbenagate/core/route"
	"verbenagate/core/sched"
	"verbenagate/core/work"
)

var queue = Measurement{
	name: "queue", x: "units", help: "scheduling one unit, against the number of units waiting in the queue",
	sizes: []int{10, 100, 1000, 10000}, tiny: 10, run: measureQueue,
}

var choose = Measurement{
	name: "choose", x: "servers", help: "choosing a server for one unit, against the number of servers in the group",
	sizes: []int{3, 9, 30, 100, 300}, tiny: 3, run: measureRoute,
}

// measureQueue measures what BenchmarkQueue of core/sched does: each unit is queued, started and completed.
func measureQueue(ctx context.Context, n int) ([]Value, error) {
	q, now := sched.New(1, n+10), time.Unix(1000, 0)
	callers := make([]string, 50)
	for i := range callers {
		callers[i] = fmt.Sprint("c", i)
	}
	add := func(i int) {
		q.Submit(sched.NewItem(callers[i%50], uint64(i%20), now.Add(time.Hour), sched.NeedsConnection, false, nil), now)
	}
	for i := range n {
		add(i)
	}
	return repeat(ctx, func(i int) {
		now = now.Add(time.Microsecond)
		add(i)
		started, _ := q.Next(now, 1)
		q.Done(started[0], now)
	}), nil
}

// measureRoute measures what BenchmarkChoose of core/route does: a read chooses among replicas that have applied its point.
func measureRoute(ctx context.Context, n int) ([]Value, error) {
	now := time.Unix(1000, 0)
	var members []route.Member
	for i := range n {
		members = append(members, route.NewMember(fmt.Sprint("server", i), spread(n, 3)[i], 5))
	}
	t := route.NewTable("dc0", members, route.NewCosts(1, 4))
	for i := range members {
		info := work.ServerInfo{Address: fmt.Sprint("server", i), Term: 1, Applied: 10, Role: port.RoleReplica}
		if i == 0 {
			info.Role = port.RolePrimary
		}
		t.RecordReport(now, info)
	}
	var need route.Need = route.NewAtLeast(point.New(1, 10))
	return repeat(ctx, func(int) { t.Choose(now, need, nil) }), nil
}

// repeatDuration is how long repeat runs an operation.
const repeatDuration = 500 * time.Millisecond

// repeat runs op many times and returns its mean time and allocations.
func repeat(ctx context.Context, op func(i int)) []Value {
	const batch = 1000
	i := 0
	from := currentUsage()
	for time.Since(from.at) < scaledDuration(ctx, repeatDuration) {
		for range batch {
			op(i)
			i++
		}
	}
	to := currentUsage()
	n := float64(i)
	return []Value{
		{"time", "ns", float64(to.at.Sub(from.at)) / n},
		{"allocations", "", float64(to.mallocs-from.mallocs) / n},
		{"allocated", "B", float64(to.bytes-from.bytes) / n},
	}
}

var tick = Measurement{
	name: "tick", x: "members", help: "one tick of the member table, which each VM runs 20 times a second, in nine data centres",
	sizes: []int{90, 200, 400, 790}, tiny: 9, run: measureMemberTick,
}

// measureMemberTick measures a table without membership changes: each VM answers every heartbeat.
func measureMemberTick(ctx context.Context, n int) ([]Value, error) {
	now := time.Unix(1000, 0)
	t := member.New(member.Config{ID: "vm000", DataCentre: "dc0", Addr: "10.0.0.0:1", Incarnation: 1}, now)
	var records []member.Record
	for i, dc := range spread(n, 9)[1:] {
		records = append(records, member.Record{
			ID: fmt.Sprintf("vm%03d", i+1), DataCentre: dc, Addr: fmt.Sprintf("10.0.0.%d:1", i+1), Incarnation: 1, State: member.Live,
		})
	}
	t.MergeRecords(now, records, true)
	values := repeat(ctx, func(int) {
		now = now.Add(50 * time.Millisecond)
		t.Tick(now)
		for _, b := range t.DueHeartbeats(now) {
			t.ObserveHeartbeat(now, b.ID(), 1, member.Live)
		}
	})
	if live := len(t.View().Live()); live != n {
		return nil, fmt.Errorf("%d of %d VMs are live", live, n)
	}
	return values, nil
}
