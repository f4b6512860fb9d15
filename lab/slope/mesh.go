package slope

import (
	"context"
	"fmt"
	"time"

	"verbenagate/core/port"
	"verbenagate/io/peer"
)

const (
	// settleDuration is the wait before a measurement, so that the messages exchanged at startup are not counted.
	settleDuration = 3 * time.Second
	// countDuration is how long the traffic between idle VMs is counted.
	countDuration = 8 * time.Second
	// overheadPerMessage is the bytes that TLS (29, with the record header and tag), TCP and IP (40) add to each message.
	overheadPerMessage = 69
)

var membersLocal = Measurement{
	name: "members-local", x: "VMs", help: "messages between idle VMs, all in one data centre", sizes: []int{9, 30, 60, 100}, tiny: 2,
	run: func(ctx context.Context, n int) ([]Value, error) { return measureMembers(ctx, n, 1) },
}

var membersFar = Measurement{
	name: "members-far", x: "VMs", help: "messages between idle VMs, in nine data centres", sizes: []int{18, 36, 72, 144}, tiny: 3,
	run: func(ctx context.Context, n int) ([]Value, error) { return measureMembers(ctx, n, 9) },
}

// traffic is the control traffic of one VM: bytes sent and received, and messages sent. maxSent is set only by perVM.
type traffic struct{ sent, received, messages, maxSent float64 }

func countTraffic(meshes []*peer.Mesh) []traffic {
	all := make([]traffic, len(meshes))
	for i, m := range meshes {
		for _, k := range m.Stats().Kinds() {
			if k.Control() {
				all[i].sent += float64(k.SentBytes())
				all[i].received += float64(k.ReceivedBytes())
				all[i].messages += float64(k.Sent())
			}
		}
	}
	return all
}

// perVM returns the mean traffic of a VM per second between two counts. Its maxSent is the bytes per second, with
// overheadPerMessage, of the VM that sent most.
func perVM(from, to []traffic, secs float64) traffic {
	var t traffic
	n := float64(len(to)) * secs
	for i := range to {
		sent, messages := to[i].sent-from[i].sent, to[i].messages-from[i].messages
		t.sent += sent / n
		t.received += (to[i].received - from[i].received) / n
		t.messages += messages / n
		t.maxSent = max(t.maxSent, (sent+overheadPerMessage*messages)/secs)
	}
	return t
}

func measureMembers(ctx context.Context, n, dcs int) ([]Value, error) {
	before := memoryInUse()
	var meshes []*peer.Mesh
	defer func() { closeAll(meshes) }()
	var list []port.VM
	for i, dc := range spread(n, dcs) {
		id := fmt.Sprintf("vm%03d", i)
		m, err := peer.New(peer.Config{Listen: "127.0.0.1:0", ID: id, DataCentre: dc})
		if err != nil {
			return nil, err
		}
		meshes = append(meshes, m)
		list = append(list, port.VM{ID: id, DataCentre: dc, PeerAddr: m.Addr()})
	}
	for _, m := range meshes {
		m.Seed(list)
	}
	if err := awaitLive(ctx, meshes); err != nil {
		return nil, err
	}
	if err := sleep(ctx, scaledDuration(ctx, settleDuration)); err != nil {
		return nil, err
	}
	from, begin := countTraffic(meshes), currentUsage()
	if err := sleep(ctx, scaledDuration(ctx, countDuration)); err != nil {
		return nil, err
	}
	to, end := countTraffic(meshes), currentUsage()
	t := perVM(from, to, end.at.Sub(begin.at).Seconds())
	missing := 0
	for _, m := range meshes {
		missing += n - len(m.View().Live())
	}
	return []Value{
		{"sent by a VM", "B/s", t.sent},
		{"received by a VM", "B/s", t.received},
		{"messages sent by a VM", "1/s", t.messages},
		{"sent with TLS, TCP and IP", "B/s", t.sent + overheadPerMessage*t.messages},
		{"the same, most of all VMs", "B/s", t.maxSent},
		{"CPU of a VM", "% of a core", 100 * (end.cpu - begin.cpu).Seconds() / end.at.Sub(begin.at).Seconds() / float64(n)},
		{"memory of a VM", "KB", (memoryInUse() - before) / 1e3 / float64(n)},
		{"VMs not seen as live", "pairs", float64(missing)},
	}, nil
}

var links = Measurement{
	name: "links", x: "VMs", help: "VMs that are each connected to all others, as when every VM has callers of every service",
	sizes: []int{15, 30, 60, 90}, tiny: 2, run: measureLinks,
}

// measureLinks opens a connection between each pair of VMs and keeps it open.
func measureLinks(ctx context.Context, n int) ([]Value, error) {
	before := memoryInUse()
	var all []*peer.Mesh
	defer func() { closeAll(all) }()
	var list []port.VM
	for i := range n {
		id := fmt.Sprintf("vm%03d", i)
		m, err := peer.New(peer.Config{
			Listen: "127.0.0.1:0", ID: id, DataCentre: "dc0", IdleTimeout: time.Hour,
			HandleRequest: func(context.Context, string, peer.Request) (peer.Reply, error) { return peer.Done{}, nil },
		})
		if err != nil {
			return nil, err
		}
		all = append(all, m)
		list = append(list, port.VM{ID: id, DataCentre: "dc0", PeerAddr: m.Addr()})
	}
	for _, m := range all {
		m.Seed(list)
	}
	if err := awaitLive(ctx, all); err != nil {
		return nil, err
	}
	for _, m := range all {
		for _, vm := range list {
			if _, err := m.Call(ctx, vm.ID, peer.PrimaryNews{Service: service, Term: 1, Address: "127.0.0.1:1"}); err != nil {
				return nil, err
			}
		}
	}
	if err := sleep(ctx, scaledDuration(ctx, settleDuration)); err != nil {
		return nil, err
	}
	mean, _ := connectionCounts(all)
	return []Value{
		{"connections of a VM", "", mean},
		{"memory of a VM", "KB", (memoryInUse() - before) / 1e3 / float64(n)},
	}, nil
}

func closeAll(meshes []*peer.Mesh) {
	done := make(chan struct{})
	for _, m := range meshes {
		go func() {
			m.Close()
			done <- struct{}{}
		}()
	}
	for range meshes {
		<-done
	}
}

func awaitLive(ctx context.Context, meshes []*peer.Mesh) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, m := range meshes {
		for len(m.View().Live()) != len(meshes) {
			if err := sleep(ctx, 10*time.Millisecond); err != nil {
				return fmt.Errorf("a VM counts %d of %d VMs as live: %w", len(m.View().Live()), len(meshes), err)
			}
		}
	}
	return nil
}
