package labcli

import (
	"time"

	"verbenagate/lab/share"
)

type shareCmd struct {
	User      string          `help:"Deployment." enum:"lakeshore,plankammer" default:"lakeshore"`
	VMs       int             `name:"vms" help:"Number of VMs." default:"9"`
	Seeds     int             `help:"Number of load plans; the table shows the medians." default:"5"`
	Near      bool            `help:"Place all VMs in the server's data centre."`
	Intervals []time.Duration `help:"For moved shares: times between two demand reports." default:"100ms,10ms,1ms"`
	Cases     []string        `name:"case" help:"Cases to run: quiet, step, skewed step, stragglers, at the owner, forwarded. Default: all."`
	Real      bool            `help:"Also measure one owner and fixed shares with real VMs, without delays between data centres."`
}

// Run implements the command.
func (c *shareCmd) Run(r *run) error {
	log, err := r.openLog()
	if err != nil {
		return err
	}
	return share.Write(r.ctx, share.Options{
		Deployment: c.User, VMs: c.VMs, Seeds: c.Seeds, Near: c.Near, Intervals: c.Intervals, Cases: c.Cases, Real: c.Real,
	}, log, r.app.out)
}
