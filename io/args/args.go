// Package args lets a program parse its command line with kong and choose its exit code itself.
package args

import "github.com/alecthomas/kong"

// exitCode carries the exit code out of kong, which expects its exit function not to return.
type exitCode int

// Exit is the option that has a parser end the function given to Run, instead of the process.
func Exit() kong.Option { return kong.Exit(func(code int) { panic(exitCode(code)) }) }

// Run returns the exit code that f returns, or that a parser with the option Exit asks for within f.
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
