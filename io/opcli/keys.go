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

// tlsConfig returns the TLS configuration for calls, or nil if --tls-ca is not set.
func (g *grammar) tlsConfig() (*tls.Config, error) {
	if g.TLSCA == "" {
		if g.TLSCert != "" || g.TLSKey != "" || g.TLSName != "" {
			return nil, result.New(result.InvalidConfig, "--tls-cert, --tls-key and --tls-name require --tls-ca")
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
		return nil, result.Wrap(result.InvalidConfig, err, "load certificate %s and its key: %v", g.TLSCert, err)
	}
	cfg.Certificates = []tls.Certificate{pair}
	return cfg, nil
}

type keysCmd struct {
	Make keysMakeCmd `cmd:"" help:"Create a certificate authority if the directory has none, and certificates signed by it. Files of the same name are replaced."`
}

type keysMakeCmd struct {
	CA       string   `name:"ca" help:"Directory of the certificate authority: ca.pem and ca.key." required:"" predictor:"file" placeholder:"DIR"`
	Out      string   `help:"Directory for the certificates; by default the directory of the authority." predictor:"file" placeholder:"DIR"`
	VM       []string `name:"vm" help:"Id of a VM; may be repeated." placeholder:"ID"`
	IP       []net.IP `name:"ip" help:"IP address in the VM's certificate, at which callers and operators reach the VM; may be repeated." placeholder:"IP"`
	Operator []string `help:"Name of an operator; may be repeated." placeholder:"NAME"`
	Days     int      `help:"Days for which the certificates are valid." default:"365"`
	CADays   int      `name:"ca-days" help:"Days for which a new authority is valid." default:"3650"`
}

// Run creates the key and certificate files and writes their paths.
func (c *keysMakeCmd) Run(r *execution) error {
	if len(c.IP) > 0 && len(c.VM) > 1 {
		return result.New(result.InvalidConfig, "--ip applies to a single VM and cannot be used with more than one --vm")
	}
	if c.Days < 1 || c.CADays < 1 {
		return result.New(result.InvalidConfig, "--days and --ca-days must be at least 1")
	}
	outDir := c.Out
	if outDir == "" {
		outDir = c.CA
	}
	files, err := c.makeFiles(outDir, time.Now())
	if err != nil {
		return err
	}
	return r.writeResult(map[string]any{"files": files}, func(w io.Writer) error {
		for _, f := range files {
			fmt.Fprintln(w, f)
		}
		return nil
	})
}

func (c *keysMakeCmd) makeFiles(outDir string, now time.Time) ([]string, error) {
	authority, created, err := certs.OpenAuthority(c.CA, now, time.Duration(c.CADays)*day)
	if err != nil {
		return nil, err
	}
	var files []string
	addFiles := func(dir, name string) { files = append(files, certs.CertFile(dir, name), certs.KeyFile(dir, name)) }
	if created {
		addFiles(c.CA, "ca")
	}
	validity := time.Duration(c.Days) * day
	for _, id := range c.VM {
		if err := authority.VM(outDir, id, c.IP, now, validity); err != nil {
			return files, err
		}
		addFiles(outDir, id)
	}
	for _, name := range c.Operator {
		if err := authority.Operator(outDir, name, now, validity); err != nil {
			return files, err
		}
		addFiles(outDir, name)
	}
	return files, nil
}
