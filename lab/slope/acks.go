package slope

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"verbenagate/core/svcdef"
	"verbenagate/lab/fault"
)

var acksLakeshore = Measurement{
	name: "acks-lakeshore", x: "callers", help: "writes at once with acknowledgement by a majority and by the primary, 1.5 ms one way, 5 slots",
	sizes: []int{1, 4, 16, 40}, tiny: 2,
	run: func(ctx context.Context, n int) ([]Value, error) { return acks(ctx, n, 1500*time.Microsecond, 5) },
}

var acksPlankammer = Measurement{
	name: "acks-plankammer", x: "callers", help: "writes at once with acknowledgement by a majority and by the primary, 0.5 ms one way, 3 slots",
	sizes: []int{1, 4, 16, 40}, tiny: 2,
	run: func(ctx context.Context, n int) ([]Value, error) { return acks(ctx, n, 500*time.Microsecond, 3) },
}

const (
	// ackTime is how long callers write in each mode, after ackWarmUp.
	ackTime   = 8 * time.Second
	ackWarmUp = time.Second
	// ackServiceTime is the time that a write takes on the primary, as in the experiments of both users.
	ackServiceTime = 2 * time.Millisecond
)

// acks compares both modes of acknowledgement. The VM, the callers and the primary are in one data centre, the two
// replicas in others, so that the latency is that of the replication and of the VM's status requests.
func acks(ctx context.Context, callers int, oneWay time.Duration, slots int) ([]Value, error) {
	var values []Value
	for _, mode := range []svcdef.Ack{svcdef.AckQuorum, svcdef.AckPrimary} {
		took, secs, err := write(ctx, callers, oneWay, slots, mode)
		if err != nil {
			return nil, fmt.Errorf("mode %s: %w", mode, err)
		}
		slices.Sort(took)
		at := func(q float64) float64 { return float64(took[int(q*float64(len(took)-1))]) / 1e6 }
		values = append(values,
			Value{string(mode) + ", median", "ms", at(0.5)}, Value{string(mode) + ", p99", "ms", at(0.99)},
			Value{string(mode) + ", writes", "1/s", float64(len(took)) / secs},
		)
	}
	return values, nil
}

// write returns how long each write of callers took that write again as soon as they have an answer, and the seconds in
// which they did.
func write(ctx context.Context, callers int, oneWay time.Duration, slots int, mode svcdef.Ack) ([]time.Duration, float64, error) {
	b, err := start(ctx, plan{
		vms: []string{"dc0"}, servers: spread(3, 3), slots: slots, ack: mode, oneWay: oneWay, serviceTime: ackServiceTime,
	})
	if err != nil {
		return nil, 0, err
	}
	defer b.close()
	l, err := newLogin()
	if err != nil {
		return nil, 0, err
	}
	open := make([]*client, callers)
	for i := range open {
		if open[i], err = l.open(ctx, b.nodes[0].CallerAddr(), false); err != nil {
			return nil, 0, err
		}
		defer open[i].close()
	}
	begin := time.Now().Add(span(ctx, ackWarmUp))
	end := begin.Add(span(ctx, ackTime))
	took, errs := make([][]time.Duration, callers), make([]error, callers)
	var wg sync.WaitGroup
	for k, c := range open {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := 0; errs[k] == nil && ctx.Err() == nil; i++ {
				sent := time.Now()
				errs[k] = c.query(fmt.Sprintf("INSERT INTO payment(ref, member, seq) VALUES ('w', %d, %d)", k, i))
				now := time.Now()
				if now.After(end) {
					return
				}
				if sent.After(begin) {
					took[k] = append(took[k], now.Sub(sent))
				}
			}
		}()
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, 0, err
		}
	}
	all := slices.Concat(took...)
	if len(all) == 0 {
		return nil, 0, fmt.Errorf("no write was acknowledged within %v", end.Sub(begin))
	}
	return all, end.Sub(begin).Seconds(), nil
}

// delay puts the one-way latency between the VMs in the first server's data centre and the other servers, and on the
// replication. Links between VMs and servers take it from the first connection on.
func (b *bench) delay(oneWay time.Duration) error {
	for i, s := range b.servers {
		s.SetNetDelay(oneWay)
		if i == 0 {
			continue
		}
		far, err := fault.New(s.Addr())
		if err != nil {
			return err
		}
		b.far = append(b.far, far)
		far.SetDelay(fault.ToServer, oneWay)
		far.SetDelay(fault.ToClient, oneWay)
		address := far.Addr()
		b.toServers[i].target.Store(&address)
	}
	return nil
}
