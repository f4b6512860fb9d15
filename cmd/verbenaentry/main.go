// Command verbenaentry runs a VM of verbenagate on its users' platform.
package main

import (
	"fmt"
	"net"
	"os"

	"github.com/alecthomas/kong"

	"verbenagate/io/bounds"
	"verbenagate/io/edge"
	"verbenagate/io/entry"
	"verbenagate/io/watch"
	"verbenagate/platform"
)

type cli struct {
	Config string   `help:"Settings file." env:"VERBENAGATE_BOOT" default:"/etc/verbenagate/settings.conf" type:"path"`
	Serve  struct{} `cmd:"" default:"1" help:"Serve callers until SIGTERM."`
	Check  struct{} `cmd:"" help:"Check the settings file and list every error."`
}

func main() {
	var c cli
	k := kong.Parse(&c, kong.Name("verbenaentry"), kong.Description("A VM of verbenagate on its users' platform."))
	var err error
	switch k.Command() {
	case "check":
		_, err = edge.Load(c.Config)
	default:
		err = edge.Run(c.Config, newAdapters)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "verbenaentry:", err)
		os.Exit(1)
	}
}

func newAdapters(s edge.Settings) edge.Adapters {
	account := bounds.NewAccount(s.Limits().Bytes())
	store := platform.NewStore(s.Store(), s.Orders())
	return edge.Adapters{
		Rows: store, Orders: store, Dialer: platform.NewDialer(s.VM()).WithMemory(account.OpenForServer), Account: account,
		Source: watch.Source{
			ConfigTable: platform.ConfigTable, ConfigKey: platform.ConfigKey, ServerTable: platform.ServerTable,
			ParseConfig: platform.ParseConfig, ParseServer: platform.ParseServer,
		},
		Wrap:      func(conn net.Conn) entry.Conn { return platform.NewCallerConn(conn) },
		ReadyPath: platform.ReadyPath,
	}
}
