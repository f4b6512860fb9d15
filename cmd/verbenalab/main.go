// Command verbenalab runs the simulated servers and platform, the load and the experiments for verbenagate.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"verbenagate/lab/labcli"
	"verbenagate/lab/slope"
)

func main() {
	if slope.Child() {
		return
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := labcli.New(os.Stdout, os.Stderr).Run(ctx, os.Args[1:])
	stop()
	os.Exit(code)
}
