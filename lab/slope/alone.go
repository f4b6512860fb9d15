package slope

import (
	"context"
	"fmt"
	"time"

	"verbenagate/io/admin"
	"verbenagate/io/config"
)

// aloneIdle is how long the CPU of a VM with idle callers is counted.
const aloneIdle = 10 * time.Second

// perProcess is how many connections one process of callers holds, well below a limit of 20,000 open files.
const perProcess = 9000

// A limit of 20,000 open files admits 18,464 callers; see io/node/files.go.
var vmPlain = Measurement{
	name: "vm-plain", x: "connections", help: "idle callers of a VM in a process of its own, without TLS",
	sizes: []int{2000, 6000, 12000, 18400}, tiny: 20,
	run: func(ctx context.Context, n int) ([]Value, error) { return alone(ctx, n, false) },
}

var vmTLS = Measurement{
	name: "vm-tls", x: "connections", help: "idle callers of a VM in a process of its own, with TLS",
	sizes: []int{2000, 6000, 12000, 18400}, tiny: 20,
	run: func(ctx context.Context, n int) ([]Value, error) { return alone(ctx, n, true) },
}

// alone opens connections from other processes to a VM that owns three servers; each runs one statement and stays idle.
func alone(ctx context.Context, n int, encrypted bool) ([]Value, error) {
	b := &bench{}
	defer b.close()
	if err := b.startLab(plan{servers: []string{"dc0", "dc0", "dc0"}, slots: sessions}); err != nil {
		return nil, err
	}
	vm, err := b.startAlone(ctx, encrypted)
	if err != nil {
		return nil, err
	}
	defer vm.close()
	empty, err := vm.ask(readMemory)
	if err != nil {
		return nil, err
	}
	holders, err := hold(vm.Callers, n, encrypted)
	defer func() {
		for _, p := range holders {
			p.close()
		}
	}()
	if err != nil {
		return nil, err
	}
	var at [3]reading
	for i, command := range []string{readCPU, readCPU, readMemory} {
		if i == 1 {
			if err := wait(ctx, span(ctx, aloneIdle)); err != nil {
				return nil, err
			}
		}
		if at[i], err = vm.ask(command); err != nil {
			return nil, err
		}
	}
	return []Value{
		{"heap of the VM", "KB", at[2].Heap / 1e3},
		{"stacks of the VM", "KB", at[2].Stacks / 1e3},
		{"resident size of the VM", "KB", at[2].Resident / 1e3},
		{"CPU to open and run one statement", "ms", (at[0].CPU - empty.CPU) * 1e3},
		{"CPU while idle", "ms/s", (at[1].CPU - at[0].CPU) * 1e3 / span(ctx, aloneIdle).Seconds()},
	}, nil
}

// hold starts processes that share n connections, each from an address of its own, so that ports do not run out.
func hold(addr string, n int, encrypted bool) ([]*process, error) {
	var list []*process
	count := (n + perProcess - 1) / perProcess
	for i := range count {
		p, err := launch(task{
			Callers: n*(i+1)/count - n*i/count, Address: addr, From: fmt.Sprintf("127.0.0.%d", i+2), TLS: encrypted,
			SQL: "SELECT n FROM tick WHERE id = 1",
		})
		if err != nil {
			return list, err
		}
		list = append(list, p)
	}
	for _, p := range list {
		if err := p.await(); err != nil {
			return list, err
		}
	}
	return list, nil
}

// startAlone starts a VM in a process of its own and puts the definition in force on it.
func (b *bench) startAlone(ctx context.Context, encrypted bool) (*process, error) {
	cfg := config.Default()
	cfg.VM = config.VM{ID: "alone", DataCentre: "dc0"}
	cfg.Listen = config.Listen{Callers: "127.0.0.1:0", Peers: "127.0.0.1:0", Operators: "127.0.0.1:0"}
	cfg.Platform.URL = "http://" + b.toStore.addr()
	cfg.Limits.Callers = 100_000
	if encrypted {
		k, err := newKeys(cfg.VM.ID)
		if err != nil {
			return nil, err
		}
		// Files that are gone leave those in use that were read at the start.
		defer k.remove()
		k.callers(&cfg)
	}
	p, err := launch(task{VM: &cfg})
	if err == nil {
		err = p.await()
	}
	if err == nil {
		err = b.define(ctx, p)
	}
	if err != nil && p != nil {
		p.close()
		return nil, err
	}
	return p, err
}

// define puts the definition in force and waits until a caller is served.
func (b *bench) define(ctx context.Context, p *process) error {
	c, err := admin.Dial(p.Operators)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	if _, _, err := c.Apply(ctx, b.spec, 0, "lab"); err != nil {
		return err
	}
	l, err := newLogin()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		one := make([]*client, 1)
		err := connectAll(ctx, l, p.Callers, false, "SELECT n FROM tick WHERE id = 1", one)
		if one[0] != nil {
			one[0].close()
		}
		if err == nil {
			return nil
		}
		if wait(ctx, 20*time.Millisecond) != nil {
			return fmt.Errorf("the VM does not serve: %w", err)
		}
	}
}
