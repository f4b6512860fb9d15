package slope

import (
	"context"
	"fmt"
	"time"

	"verbenagate/io/admin"
	"verbenagate/io/config"
)

// vmIdleDuration is the period over which the CPU time of a VM with idle callers is measured.
const vmIdleDuration = 10 * time.Second

// callersPerProcess is the most connections that one caller process holds, well below a limit of 20,000 open files.
const callersPerProcess = 9000

// A limit of 20,000 open files admits 18,464 callers; see io/node/files.go.
var vmPlain = Measurement{
	name: "vm-plain", x: "connections", help: "idle callers of a VM in its own process, without TLS",
	sizes: []int{2000, 6000, 12000, 18400}, tiny: 20,
	run: func(ctx context.Context, n int) ([]Value, error) { return measureVMProcess(ctx, n, false) },
}

var vmTLS = Measurement{
	name: "vm-tls", x: "connections", help: "idle callers of a VM in its own process, with TLS",
	sizes: []int{2000, 6000, 12000, 18400}, tiny: 20,
	run: func(ctx context.Context, n int) ([]Value, error) { return measureVMProcess(ctx, n, true) },
}

// measureVMProcess starts a VM that owns three servers in its own process. Other processes open n connections to it; each
// connection runs one statement and stays idle.
func measureVMProcess(ctx context.Context, n int, encrypted bool) ([]Value, error) {
	d := &deployment{}
	defer d.close()
	if err := d.startLab(plan{servers: []string{"dc0", "dc0", "dc0"}, slots: statementCallers}); err != nil {
		return nil, err
	}
	vm, err := d.startVMProcess(ctx, encrypted)
	if err != nil {
		return nil, err
	}
	defer vm.close()
	empty, err := vm.request(readMemory)
	if err != nil {
		return nil, err
	}
	callerProcesses, err := startCallerProcesses(vm.Callers, n, encrypted)
	defer func() {
		for _, p := range callerProcesses {
			p.close()
		}
	}()
	if err != nil {
		return nil, err
	}
	var readings [3]childUsage
	for i, command := range []string{readCPU, readCPU, readMemory} {
		if i == 1 {
			if err := sleep(ctx, scaledDuration(ctx, vmIdleDuration)); err != nil {
				return nil, err
			}
		}
		if readings[i], err = vm.request(command); err != nil {
			return nil, err
		}
	}
	return []Value{
		{"heap of the VM", "KB", readings[2].Heap / 1e3},
		{"stacks of the VM", "KB", readings[2].Stacks / 1e3},
		{"resident size of the VM", "KB", readings[2].Resident / 1e3},
		{"CPU to open and run one statement", "ms", (readings[0].CPU - empty.CPU) * 1e3},
		{"CPU while idle", "ms/s", (readings[1].CPU - readings[0].CPU) * 1e3 / scaledDuration(ctx, vmIdleDuration).Seconds()},
	}, nil
}

// startCallerProcesses starts processes that together open n connections. Each process connects from its own address, so
// that local ports do not run out. It returns the started processes even with an error.
func startCallerProcesses(addr string, n int, encrypted bool) ([]*process, error) {
	var list []*process
	count := (n + callersPerProcess - 1) / callersPerProcess
	for i := range count {
		p, err := launch(childTask{
			Callers: n*(i+1)/count - n*i/count, Address: addr, From: fmt.Sprintf("127.0.0.%d", i+2), TLS: encrypted,
			SQL: "SELECT n FROM tick WHERE id = 1",
		})
		if err != nil {
			return list, err
		}
		list = append(list, p)
	}
	for _, p := range list {
		if err := p.awaitReady(); err != nil {
			return list, err
		}
	}
	return list, nil
}

// startVMProcess starts a VM in its own process and applies the service definition.
func (d *deployment) startVMProcess(ctx context.Context, encrypted bool) (*process, error) {
	cfg := config.Default()
	cfg.VM = config.VM{ID: "alone", DataCentre: "dc0"}
	cfg.Listen = config.Listen{Callers: "127.0.0.1:0", Peers: "127.0.0.1:0", Operators: "127.0.0.1:0"}
	cfg.Platform.URL = "http://" + d.platformRelay.addr()
	cfg.Limits.Callers = 100_000
	if encrypted {
		k, err := newCertFiles(cfg.VM.ID)
		if err != nil {
			return nil, err
		}
		// If the files are gone, the VM keeps using the certificate that it read at startup.
		defer k.remove()
		k.setCallerTLS(&cfg)
	}
	p, err := launch(childTask{VM: &cfg})
	if err == nil {
		err = p.awaitReady()
	}
	if err == nil {
		err = d.applyDefinition(ctx, p)
	}
	if err != nil && p != nil {
		p.close()
		return nil, err
	}
	return p, err
}

// applyDefinition applies the service definition and waits until the VM answers a statement of a caller.
func (d *deployment) applyDefinition(ctx context.Context, p *process) error {
	c, err := admin.Dial(p.Operators)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	if _, _, err := c.Apply(ctx, d.spec, 0, "lab"); err != nil {
		return err
	}
	l, err := newLogin()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		probe := make([]*client, 1)
		err := connectAll(ctx, l, p.Callers, false, "SELECT n FROM tick WHERE id = 1", probe)
		if probe[0] != nil {
			probe[0].close()
		}
		if err == nil {
			return nil
		}
		if sleep(ctx, 20*time.Millisecond) != nil {
			return fmt.Errorf("the VM process does not serve callers: %w", err)
		}
	}
}
