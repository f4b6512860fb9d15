// Command standin plays one case of the review: it starts the project's own program as separate processes beside stand-ins of the
// store, the database servers and the clients, and checks one rule. Its exit code is 0 if the rule held, 1 if it was broken, and 2
// if the case could not be played.
package main

import (
	"fmt"
	"os"
)

// caseFunc plays a case. Trouble says whether the disruption is played. It returns the breaches of the rule.
type caseFunc func(rec *recorder, trouble bool) (breaches []string, err error)

var cases = map[string]caseFunc{
	"acknowledged-commit-lost": acknowledgedCommitLost,
	"line-feed":                lineFeed,
	"rollback-reset":           rollbackReset,
	"silent-store":             silentStore,
	"values-at-commit":         valuesAtCommit,
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(2)
	}
	play, known := cases[os.Args[1]]
	if !known {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(2)
	}
	rec, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	breaches, err := play(rec, os.Getenv("TROUBLE") != "0")
	for _, b := range breaches {
		rec.printf("BROKEN: %s", b)
		fmt.Println("BROKEN:", b)
	}
	switch {
	case err != nil:
		rec.printf("the case could not be played: %v", err)
		fmt.Fprintln(os.Stderr, "the case could not be played:", err)
		os.Exit(2)
	case len(breaches) > 0:
		os.Exit(1)
	}
	rec.printf("the rule held")
	fmt.Println("the rule held")
}
