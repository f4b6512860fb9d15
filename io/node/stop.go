package node

import (
	"context"
	"time"

	"go.uber.org/zap"

	"verbenagate/core/event"
)

// flushTime is how long the closing of a VM waits for its parts beyond the drain limit.
const flushTime = 2 * time.Second

// requestStop starts the graceful stop without waiting for it.
func (n *Node) requestStop() { n.stopped.Do(func() { close(n.stop) }) }

// Stopping is closed when an operator has asked the VM to stop.
func (n *Node) Stopping() <-chan struct{} { return n.stop }

// Stop ends the VM gracefully: it leaves the platform's list, finishes all requests and transactions in progress,
// hands over its servers and closes. It returns how many callers were still at work when the time limit passed.
func (n *Node) Stop(limit time.Duration) int {
	n.requestStop()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	n.phase("leave the list")
	n.drained.Store(true)
	listCtx, stopList := context.WithTimeout(ctx, n.cfg.Platform.Timeout)
	// Without the platform the balancer finds out by itself when the listener closes.
	_ = n.platf.Deregister(listCtx, n.cfg.VM.ID)
	stopList()
	n.phase("finish callers' requests")
	left := n.callers.Drain(ctx)
	n.phase("hand over servers")
	n.mesh.Leave()
	n.host.Close(ctx)
	// Answers that are not on their way by the time limit are lost, which their callers' VMs report as unknown.
	_ = n.mesh.Quiesce(ctx)
	if len(left) > 0 {
		n.log.Event(event.DrainTimeout, zap.Int("callers", len(left)), zap.Any("sessions", left))
	}
	n.phase("close")
	closeCtx, cancelClose := context.WithTimeout(context.Background(), flushTime)
	defer cancelClose()
	n.close(closeCtx)
	n.log.Event(event.NodeStopped)
	return len(left)
}

func (n *Node) phase(name string) { n.log.Event(event.DrainPhase, zap.String("phase", name)) }

// Close ends the VM at once, as a failure would.
func (n *Node) Close() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	n.close(ctx)
}

// close ends the parts that were built; New may have failed half way.
func (n *Node) close(ctx context.Context) {
	n.cancel()
	if n.callers != nil {
		n.callers.Close()
	}
	if n.admin != nil {
		_ = n.admin.Close()
	}
	if n.config != nil {
		n.config.Close()
	}
	if n.mesh != nil {
		n.mesh.Close()
	}
	if n.host != nil {
		n.host.Close(ctx)
	}
	if n.metrics != nil {
		n.metrics.close()
	}
	n.wg.Wait()
}
