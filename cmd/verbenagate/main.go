// Command verbenagate runs a VM of the database proxy for callers that use the PostgreSQL protocol. It is also the operators'
// command-line tool for the proxy.
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
