package node

import (
	"context"
	"runtime/debug"

	"verbenagate/core/result"
	"verbenagate/io/config"
	"verbenagate/io/front"
)

// Run starts a VM and serves until ctx ends or a stop is requested. It then shuts down gracefully within the drain limit. The
// error's code is result.ShuttingDown if callers' requests or transactions were still in progress at the limit.
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
	case <-n.StopRequested():
	}
	if left := n.Stop(cfg.Timing.DrainLimit); left > 0 {
		return result.New(result.ShuttingDown, "%d callers' sessions were still open after the drain limit of %v", left,
			cfg.Timing.DrainLimit)
	}
	return nil
}

// Serves reports whether this VM has the service's definition and a barrier request for the service succeeds.
func (n *Node) Serves(ctx context.Context, service string) bool {
	if _, ok := n.definition(service); !ok {
		return false
	}
	_, err := n.owners.Barrier(ctx, front.BarrierQuery{Service: service})
	return err == nil
}
