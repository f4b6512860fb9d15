// Package args lets a program parse its command line with kong without kong ending the process.
package args

import "github.com/alecthomas/kong"

// exitCode is the panic value that carries an exit code from kong to Run, because kong expects its exit function not to return.
type exitCode int

// Exit returns the option with which an exit of the parser ends the function given to Run instead of the process.
func Exit() kong.Option { return kong.Exit(func(code int) { panic(exitCode(code)) }) }

// Run calls f and returns its exit code. If a parser with the option Exit exits during f, Run returns the exit code of the
// parser.
func Run(f func() int) (code int) {
	defer func() {
		switch r := recover().(type) {
		case nil:
		case exitCode:
			code = int(r)
		default:
			panic(r)
		}
	}()
	return f()
}
