package labcli

import (
	"time"

	"verbenagate/lab/roam"
)

type roamCmd struct {
	Lag       time.Duration   `help:"Lag of the replicas." default:"200ms"`
	Hint      time.Duration   `help:"Delay until a hint reaches the other VMs." default:"250ms"`
	Terminals int             `help:"Connections that share a caller name." default:"1"`
	Roams     []float64       `name:"roam" help:"Shares of requests before which the caller reconnects to another VM." default:"0.05,0.1,0.25,1"`
	Seeds     int             `help:"Number of load plans." default:"20"`
	Lasts     []time.Duration `help:"Durations of the home VM's failures." default:"1s,5s,20s"`

	Real     bool            `help:"Measure the barriers of real VMs instead."`
	Hops     []time.Duration `name:"hop" help:"With --real: one-way delays between VMs and servers." default:"0s,500us,1500us"`
	Connects int             `help:"With --real: number of connections opened one after the other." default:"500"`
	Rates    []int           `help:"With --real: reconnects/s of one service on one VM." default:"50,200,400"`
	For      time.Duration   `help:"With --real: time at each rate." default:"4s"`
}

// Run implements the command.
func (c *roamCmd) Run(r *run) error {
	if !c.Real {
		return roam.Write(roam.Options{
			Lag: c.Lag, HintDelay: c.Hint, Terminals: c.Terminals, RoamShares: c.Roams, Seeds: c.Seeds, FailureDurations: c.Lasts,
		}, r.app.out)
	}
	log, err := r.openLog()
	if err != nil {
		return err
	}
	for _, hop := range c.Hops {
		if err := roam.WriteConnects(r.ctx, hop, c.Connects, c.Rates, c.For, log, r.app.out); err != nil {
			return err
		}
	}
	return nil
}
