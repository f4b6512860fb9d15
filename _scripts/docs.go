// Command docs writes the generated reference pages to a directory: go run _scripts/docs.go DIR.
package main

import (
	"fmt"
	"os"

	"verbenagate/io/pages"
)

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: go run _scripts/docs.go DIR")
		os.Exit(2)
	}
	if err := pages.Write(os.Args[1]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
