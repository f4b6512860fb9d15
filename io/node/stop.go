package node

import (
	"context"
	"time"

	"go.uber.org/zap"

	"verbenagate/core/event"
)

// closeTimeout bounds how long Stop waits, after the drain, for the VM's components to close.
const closeTimeout = 2 * time.Second

// requestStop requests the graceful shutdown and returns at once.
func (n *Node) requestStop() { n.stopOnce.Do(func() { close(n.stopRequested) }) }

// StopRequested returns a channel that is closed when a graceful shutdown has been requested: by an operator, by another VM, or
// by a call of Stop.
func (n *Node) StopRequested() <-chan struct{} { return n.stopRequested }

// Stop shuts the VM down gracefully: it removes the VM's entry from the platform's list, finishes all requests and
// transactions in progress, hands over the servers and closes. It returns how many callers' sessions were still open when the
// time limit passed.
func (n *Node) Stop(limit time.Duration) int {
	n.requestStop()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	n.logPhase("leave the platform's list")
	n.draining.Store(true)
	listCtx, stopList := context.WithTimeout(ctx, n.cfg.Platform.Timeout)
	// The error is ignored: if the platform fails, the load balancer still detects the closed listener.
	_ = n.platf.Deregister(listCtx, n.cfg.VM.ID)
	stopList()
	n.logPhase("finish callers' requests")
	left := n.callers.Drain(ctx)
	n.logPhase("hand over servers")
	n.mesh.Leave()
	n.host.Close(ctx)
	// Answers that are not sent by the time limit are lost, and their callers' VMs report the results as unknown.
	_ = n.mesh.Quiesce(ctx)
	if len(left) > 0 {
		n.log.Event(event.DrainTimeout, zap.Int("callers", len(left)), zap.Any("sessions", left))
	}
	n.logPhase("close")
	closeCtx, cancelClose := context.WithTimeout(context.Background(), closeTimeout)
	defer cancelClose()
	n.close(closeCtx)
	n.log.Event(event.NodeStopped)
	return len(left)
}

func (n *Node) logPhase(name string) { n.log.Event(event.DrainPhase, zap.String("phase", name)) }

// Close stops the VM at once, without a drain, as a crash would.
func (n *Node) Close() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	n.close(ctx)
}

// close closes the components. Some may be nil, because New also calls it after a failed start.
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
