package node

import (
	"context"
	"runtime/debug"

	"verbenagate/core/result"
	"verbenagate/io/config"
	"verbenagate/io/front"
)

// Run serves until ctx ends or an operator stops the VM, and then stops gracefully within the drain limit. The error's
// code is result.ShuttingDown if work was still running then.
func Run(ctx context.Context, cfg config.Settings) error {
	log, err := cfg.Log.Open()
	if err != nil {
		return err
	}
	defer func() { _ = log.Sync() }() // standard error may not support it
	debug.SetGCPercent(cfg.Limits.GCPercent)
	n, err := New(cfg, log)
	if err != nil {
		return err
	}
	select {
	case <-ctx.Done():
	case <-n.Stopping():
	}
	if left := n.Stop(cfg.Timing.DrainLimit); left > 0 {
		return result.New(result.ShuttingDown, "%d callers were still at work after %v", left, cfg.Timing.DrainLimit)
	}
	return nil
}

// Serves reports whether this VM has the service's definition and can obtain a barrier for it.
func (n *Node) Serves(ctx context.Context, service string) bool {
	if _, ok := n.service(service); !ok {
		return false
	}
	_, err := n.reach.Barrier(ctx, front.Query{Service: service})
	return err == nil
}
