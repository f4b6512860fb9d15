package node

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"verbenagate/core/event"
)

const (
	// firstSeedDelay gives the platform's list time to arrive before the first seed is contacted. seedInterval is the time
	// between two rounds.
	firstSeedDelay = 200 * time.Millisecond
	seedInterval   = time.Second
)

// contactSeedsWhenAlone connects to a seed whenever this VM knows no other live VM, for example after a start while the
// platform is down. It logs only the first failure in a row.
func (n *Node) contactSeedsWhenAlone(ctx context.Context) {
	t := time.NewTimer(firstSeedDelay)
	defer t.Stop()
	logged := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if alone := len(n.mesh.View().Live()) <= 1; !alone || n.draining.Load() {
			logged = false
		} else if err := n.contactSeed(ctx); err != nil && !logged && ctx.Err() == nil {
			logged = true
			n.log.Event(event.SeedsUnreachable, zap.Strings("seeds", n.cfg.Peers.Seeds), zap.Error(err))
		}
		t.Reset(seedInterval)
	}
}

// contactSeed connects to the first seed that answers, or returns the last error if none does. The order is random, so that
// VMs that start together spread over the seeds.
func (n *Node) contactSeed(ctx context.Context) error {
	var last error
	for _, i := range rand.Perm(len(n.cfg.Peers.Seeds)) {
		address := n.cfg.Peers.Seeds[i]
		if address == n.mesh.Addr() {
			continue // all VMs may share the same list of seeds
		}
		if _, last = n.mesh.ConnectToAddr(ctx, address); last == nil {
			return nil
		}
	}
	return last
}
