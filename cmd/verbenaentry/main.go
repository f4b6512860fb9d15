// Command verbenaentry runs a VM of verbenagate on its users' platform.
package main

import (
	"fmt"
	"net"
	"os"
	"strings"

	"github.com/alecthomas/kong"

	"verbenagate/core/result"
	"verbenagate/io/bounds"
	"verbenagate/io/edge"
	"verbenagate/io/entry"
	"verbenagate/io/vetcli"
	"verbenagate/io/watch"
	"verbenagate/platform"
)

type cli struct {
	Config string         `help:"Settings file." env:"VERBENAGATE_BOOT" default:"/etc/verbenagate/settings.conf" type:"path"`
	Serve  struct{}       `cmd:"" default:"1" help:"Serve callers until SIGTERM."`
	Check  struct{}       `cmd:"" help:"Check the settings file and list every error."`
	Vet    vetcli.Command `cmd:"" help:"Check a configuration before it is sent."`
}

func main() {
	var c cli
	k := kong.Parse(&c, kong.Name("verbenaentry"), kong.Description("A VM of verbenagate on its users' platform."))
	var err error
	switch k.Command() {
	case "check":
		_, err = edge.Load(c.Config)
	case "vet <file>":
		err = c.Vet.Run(os.Stdout, vetcli.Parsers{Draft: platform.ParseDraft, Server: platform.ParseServer})
	default:
		err = edge.Run(c.Config, newAdapters)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "verbenaentry:", err)
		os.Exit(exitCode(k.Command(), err))
	}
}

// exitInvalid is the exit code for a configuration with errors.
const exitInvalid = 3

func exitCode(command string, err error) int {
	if strings.HasPrefix(command, "vet") && result.CodeOf(err) == result.InvalidConfig {
		return exitInvalid
	}
	return 1
}

func newAdapters(s edge.Settings) edge.Adapters {
	account := bounds.NewAccount(s.Limits().Bytes())
	store := platform.NewStore(s.Store(), s.Orders())
	return edge.Adapters{
		Rows: store, Eras: store, Orders: store, Dialer: platform.NewDialer(s.VM()).WithMemory(account.OpenForServer), Account: account,
		Source: watch.Source{
			ConfigTable: platform.ConfigTable, ConfigKey: platform.ConfigKey, ServerTable: platform.ServerTable,
			ParseConfig: platform.ParseConfig, ParseServer: platform.ParseServer,
		},
		Wrap:      func(conn net.Conn) entry.Conn { return platform.NewCallerConn(conn) },
		ReadyPath: platform.ReadyPath,
	}
}
