// Command verbenagate is a database proxy for PostgreSQL-protocol callers, and the operators' tool for it.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"verbenagate/io/node"
	"verbenagate/io/opcli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := opcli.New(os.Stdout, os.Stderr, node.Run).Run(ctx, os.Args[1:])
	stop()
	os.Exit(code)
}
