package slope

import (
	"context"
	"fmt"
	"net"
	"os"
	"slices"
	"time"

	"verbenagate/io/certs"
	"verbenagate/io/config"
)

// certValidity is longer than any measurement.
const certValidity = time.Hour

// certFiles is a temporary directory with a certificate authority and the certificates and keys of VMs.
type certFiles struct{ dir string }

func newCertFiles(vms ...string) (certFiles, error) {
	dir, err := os.MkdirTemp("", "slope")
	if err != nil {
		return certFiles{}, err
	}
	k, now := certFiles{dir}, time.Now()
	a, _, err := certs.OpenAuthority(dir, now, certValidity)
	for _, id := range vms {
		if err == nil {
			err = a.VM(dir, id, []net.IP{net.IPv4(127, 0, 0, 1)}, now, certValidity)
		}
	}
	if err != nil {
		k.remove()
	}
	return k, err
}

func (k certFiles) remove() { _ = os.RemoveAll(k.dir) } // a temporary directory may be left behind

func (k certFiles) setCallerTLS(cfg *config.Settings) {
	cfg.TLS.Callers.Cert, cfg.TLS.Callers.Key = certs.CertFile(k.dir, cfg.VM.ID), certs.KeyFile(k.dir, cfg.VM.ID)
}

func (k certFiles) setPeerTLS(cfg *config.Settings) {
	cfg.TLS.Peers = config.PeerTLS{
		Cert: certs.CertFile(k.dir, cfg.VM.ID), Key: certs.KeyFile(k.dir, cfg.VM.ID), CA: certs.CertFile(k.dir, "ca"),
	}
}

var tlsReads = Measurement{
	name: "tls-reads", x: "reads", help: "reads through a VM that forwards them, with TLS and without",
	sizes: []int{5000, 10000, 20000, 40000}, tiny: 50,
	run: func(ctx context.Context, n int) ([]Value, error) {
		return compareTLS(ctx, n, func(int) string { return "SELECT n FROM tick WHERE id = 1" })
	},
}

var tlsWrites = Measurement{
	name: "tls-writes", x: "writes", help: "writes through a VM that forwards them, with TLS and without",
	sizes: []int{1000, 2000, 4000, 8000}, tiny: 20,
	run: func(ctx context.Context, n int) ([]Value, error) {
		return compareTLS(ctx, n, func(i int) string { return fmt.Sprintf("UPDATE tick SET n = %d WHERE id = 1", i) })
	},
}

// compareTLS runs n statements in each of four deployments: without TLS, with TLS for callers' connections, with TLS between
// VMs, and with both.
func compareTLS(ctx context.Context, n int, sql func(int) string) ([]Value, error) {
	k, err := newCertFiles("vm000", "vm001")
	if err != nil {
		return nil, err
	}
	defer k.remove()
	var all []Value
	for _, c := range []struct {
		name           string
		callers, peers bool
	}{{"plain", false, false}, {"callers", true, false}, {"VMs", false, true}, {"both", true, true}} {
		p := plan{
			vms: []string{"front", "back"}, roles: []string{roleCaller, roleOwner}, servers: []string{"back", "back", "back"},
			slots: statementCallers, encrypted: c.callers,
			changeSettings: func(cfg *config.Settings) {
				if c.callers {
					k.setCallerTLS(cfg)
				}
				if c.peers {
					k.setPeerTLS(cfg)
				}
			},
		}
		s, err := runStatements(ctx, p, n, sql)
		if err != nil {
			return nil, fmt.Errorf("deployment with TLS %s: %w", c.name, err)
		}
		all = append(all, Value{c.name + ": CPU, callers' VM", "ms", s.roles[roleCaller] * 1e3},
			Value{c.name + ": CPU, owner VM", "ms", s.roles[roleOwner] * 1e3},
			Value{c.name + ": latency of one caller, p50", "ms", s.p50}, Value{c.name + ": latency of one caller, p99", "ms", s.p99})
	}
	return all, nil
}

// latencyQuantiles runs n statements in sequence and returns the quantiles of their latency in milliseconds.
func latencyQuantiles(c *client, n int, sql func(int) string) (p50, p99 float64, err error) {
	var times []float64
	for i := range n {
		begun := time.Now()
		if err := c.query(sql(i)); err != nil {
			return 0, 0, err
		}
		times = append(times, float64(time.Since(begun))/1e6)
	}
	slices.Sort(times)
	return times[n/2], times[n*99/100], nil
}
