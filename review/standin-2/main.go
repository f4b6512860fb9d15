// Command standin-2 plays the scripted cases 6 to 10 of the review. It starts the program under test as separate processes, with
// stand-ins for the store, the servers and the clients.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Results of a case, which are its exit codes.
const (
	held   = 0
	broken = 1
	failed = 2
)

// play is the state that all cases share.
type play struct {
	record  *recorder
	dir     string // for settings and logs
	program string
	trouble bool
}

var cases = map[string]func(*play) (int, error){
	"stop":   playStop,
	"agents": playAgents,
	"silent": playSilent,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE FOLDER")
		os.Exit(failed)
	}
	code, err := run(cases[os.Args[1]], os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		code = failed
	}
	os.Exit(code)
}

func run(c func(*play) (int, error), folder string) (int, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return failed, err
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	}
	p := &play{dir: dir, trouble: os.Getenv("TROUBLE") != "0"}
	if p.program, err = filepath.Abs("target/verbenaentry"); err != nil {
		return failed, err
	}
	if p.record, err = newRecorder(filepath.Join(folder, "record.txt")); err != nil {
		return failed, err
	}
	code, err := c(p)
	p.record.add("result: %d (0 held, 1 broken, 2 could not run) %v", code, err)
	fmt.Printf("%s: result %d, trouble %t, record in %s\n", filepath.Base(folder), code, p.trouble, filepath.Join(folder, "record.txt"))
	return code, err
}

// constantWork returns a function for servers that take the same time for each statement.
func constantWork(d time.Duration) func(string) time.Duration {
	return func(string) time.Duration { return d }
}
