package labcli

import "verbenagate/lab/slopcli"

type slopeCmd struct{ slopcli.Cmd }

// Run implements the command.
func (c *slopeCmd) Run(r *run) error { return c.Measure(r.ctx, r.app.out) }
