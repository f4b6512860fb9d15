package node

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"verbenagate/core/event"
)

const (
	// seedsFirst leaves time to the platform's list, seedsInterval is the time between two rounds.
	seedsFirst    = 200 * time.Millisecond
	seedsInterval = time.Second
)

// keepSeeded connects to a seed whenever this VM has no live peer, as one that starts while the platform is down.
func (n *Node) keepSeeded(ctx context.Context) {
	t := time.NewTimer(seedsFirst)
	defer t.Stop()
	told := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if alone := len(n.mesh.View().Live()) <= 1; !alone || n.drained.Load() {
			told = false
		} else if err := n.contactSeed(ctx); err != nil && !told && ctx.Err() == nil {
			told = true
			n.log.Event(event.SeedsUnreachable, zap.Strings("seeds", n.cfg.Peers.Seeds), zap.Error(err))
		}
		t.Reset(seedsInterval)
	}
}

// contactSeed tries the seeds in random order, so that VMs that start together spread over them, and returns the last
// error if none answers.
func (n *Node) contactSeed(ctx context.Context) error {
	var last error
	for _, i := range rand.Perm(len(n.cfg.Peers.Seeds)) {
		address := n.cfg.Peers.Seeds[i]
		if address == n.mesh.Addr() {
			continue // the same settings may serve all VMs
		}
		if _, last = n.mesh.Contact(ctx, address); last == nil {
			return nil
		}
	}
	return last
}
