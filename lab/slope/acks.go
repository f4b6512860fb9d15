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
	name: "acks-lakeshore", x: "callers", help: "concurrent writes, acknowledged by a majority or by the primary alone, 1.5 ms one way, 5 slots",
	sizes: []int{1, 4, 16, 40}, tiny: 2,
	run: func(ctx context.Context, n int) ([]Value, error) {
		return compareAckModes(ctx, n, 1500*time.Microsecond, 5)
	},
}

var acksPlankammer = Measurement{
	name: "acks-plankammer", x: "callers", help: "concurrent writes, acknowledged by a majority or by the primary alone, 0.5 ms one way, 3 slots",
	sizes: []int{1, 4, 16, 40}, tiny: 2,
	run: func(ctx context.Context, n int) ([]Value, error) {
		return compareAckModes(ctx, n, 500*time.Microsecond, 3)
	},
}

const (
	// ackWriteDuration is how long writes are measured in each mode; callers already write for ackWarmUpDuration before.
	ackWriteDuration  = 8 * time.Second
	ackWarmUpDuration = time.Second
	// ackServiceTime is how long a write takes on the primary, as in the experiments for Lakeshore and Plankammer.
	ackServiceTime = 2 * time.Millisecond
)

// compareAckModes measures write latency and throughput in both acknowledgement modes. The VM, the callers and the primary
// are in one data centre and the two replicas in others, so the network latency affects only the replication and the
// VM's status requests.
func compareAckModes(ctx context.Context, callers int, oneWay time.Duration, slots int) ([]Value, error) {
	var values []Value
	for _, mode := range []svcdef.Ack{svcdef.AckQuorum, svcdef.AckPrimary} {
		latencies, secs, err := measureWrites(ctx, callers, oneWay, slots, mode)
		if err != nil {
			return nil, fmt.Errorf("acknowledgement mode %s: %w", mode, err)
		}
		slices.Sort(latencies)
		at := func(q float64) float64 { return float64(latencies[int(q*float64(len(latencies)-1))]) / 1e6 }
		values = append(values,
			Value{string(mode) + ", median", "ms", at(0.5)}, Value{string(mode) + ", p99", "ms", at(0.99)},
			Value{string(mode) + ", writes", "1/s", float64(len(latencies)) / secs},
		)
	}
	return values, nil
}

// measureWrites runs callers that each send the next write as soon as the last one is answered. It returns the latency of
// each measured write and the length of the measured period in seconds.
func measureWrites(ctx context.Context, callers int, oneWay time.Duration, slots int, mode svcdef.Ack) ([]time.Duration, float64, error) {
	d, err := startDeployment(ctx, plan{
		vms: []string{"dc0"}, servers: spread(3, 3), slots: slots, ack: mode, oneWay: oneWay, serviceTime: ackServiceTime,
	})
	if err != nil {
		return nil, 0, err
	}
	defer d.close()
	l, err := newLogin()
	if err != nil {
		return nil, 0, err
	}
	open := make([]*client, callers)
	for i := range open {
		if open[i], err = l.open(ctx, d.nodes[0].CallerAddr(), false); err != nil {
			return nil, 0, err
		}
		defer open[i].close()
	}
	begin := time.Now().Add(scaledDuration(ctx, ackWarmUpDuration))
	end := begin.Add(scaledDuration(ctx, ackWriteDuration))
	latencies, errs := make([][]time.Duration, callers), make([]error, callers)
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
					latencies[k] = append(latencies[k], now.Sub(sent))
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
	all := slices.Concat(latencies...)
	if len(all) == 0 {
		return nil, 0, fmt.Errorf("no write was acknowledged within %v", end.Sub(begin))
	}
	return all, end.Sub(begin).Seconds(), nil
}

// addNetworkDelay delays the traffic between the VMs and all servers but the first, and the replication, by oneWay. The VMs
// must be in the first server's data centre. It runs before the VMs start, so the delay applies from the first connection.
func (d *deployment) addNetworkDelay(oneWay time.Duration) error {
	for i, s := range d.servers {
		s.SetNetDelay(oneWay)
		if i == 0 {
			continue
		}
		proxy, err := fault.New(s.Addr())
		if err != nil {
			return err
		}
		d.delayLinks = append(d.delayLinks, proxy)
		proxy.SetDelay(fault.ToServer, oneWay)
		proxy.SetDelay(fault.ToClient, oneWay)
		address := proxy.Addr()
		d.serverRelays[i].target.Store(&address)
	}
	return nil
}
