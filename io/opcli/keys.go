package opcli

import (
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"time"

	"verbenagate/core/result"
	"verbenagate/io/certs"
)

const day = 24 * time.Hour

// tls returns the TLS settings for calls, nil if the flags ask for none.
func (g *grammar) tls() (*tls.Config, error) {
	if g.TLSCA == "" {
		if g.TLSCert != "" || g.TLSKey != "" || g.TLSName != "" {
			return nil, result.New(result.InvalidConfig, "--tls-cert, --tls-key and --tls-name need --tls-ca")
		}
		return nil, nil
	}
	pool, err := certs.Pool(g.TLSCA)
	if err != nil {
		return nil, err
	}
	cfg := &tls.Config{RootCAs: pool, ServerName: g.TLSName, MinVersion: tls.VersionTLS13}
	if g.TLSCert == "" && g.TLSKey == "" {
		return cfg, nil
	}
	pair, err := tls.LoadX509KeyPair(g.TLSCert, g.TLSKey)
	if err != nil {
		return nil, result.Wrap(result.InvalidConfig, err, "load certificate %s: %v", g.TLSCert, err)
	}
	cfg.Certificates = []tls.Certificate{pair}
	return cfg, nil
}

type keysCmd struct {
	Make keysMakeCmd `cmd:"" help:"Make an authority if the directory has none, and certificates that it signs. Files of the same name are replaced."`
}

type keysMakeCmd struct {
	CA       string   `name:"ca" help:"Directory of the authority: ca.pem and ca.key." required:"" predictor:"file" placeholder:"DIR"`
	Out      string   `help:"Directory for the certificates; without it they go to that of the authority." predictor:"file" placeholder:"DIR"`
	VM       []string `name:"vm" help:"Id of a VM; may be repeated." placeholder:"ID"`
	IP       []net.IP `name:"ip" help:"Address that the VM's certificate carries for callers and operators; may be repeated." placeholder:"IP"`
	Operator []string `help:"Name of an operator; may be repeated." placeholder:"NAME"`
	Days     int      `help:"Days for which the certificates are valid." default:"365"`
	CADays   int      `name:"ca-days" help:"Days for which a new authority is valid." default:"3650"`
}

// Run makes the files.
func (c *keysMakeCmd) Run(r *run) error {
	if len(c.IP) > 0 && len(c.VM) > 1 {
		return result.New(result.InvalidConfig, "--ip belongs to one VM; give one --vm with it")
	}
	if c.Days < 1 || c.CADays < 1 {
		return result.New(result.InvalidConfig, "--days and --ca-days must be at least 1")
	}
	out := c.Out
	if out == "" {
		out = c.CA
	}
	files, err := c.make(out, time.Now())
	if err != nil {
		return err
	}
	return r.show(map[string]any{"files": files}, func(w io.Writer) error {
		for _, f := range files {
			fmt.Fprintln(w, f)
		}
		return nil
	})
}

func (c *keysMakeCmd) make(out string, now time.Time) ([]string, error) {
	a, made, err := certs.OpenAuthority(c.CA, now, time.Duration(c.CADays)*day)
	if err != nil {
		return nil, err
	}
	var files []string
	written := func(dir, name string) { files = append(files, certs.CertFile(dir, name), certs.KeyFile(dir, name)) }
	if made {
		written(c.CA, "ca")
	}
	valid := time.Duration(c.Days) * day
	for _, id := range c.VM {
		if err := a.VM(out, id, c.IP, now, valid); err != nil {
			return files, err
		}
		written(out, id)
	}
	for _, name := range c.Operator {
		if err := a.Operator(out, name, now, valid); err != nil {
			return files, err
		}
		written(out, name)
	}
	return files, nil
}
