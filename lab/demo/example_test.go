package demo_test

import (
	"context"
	"fmt"
	"os"

	"verbenagate/io/logs"
	"verbenagate/lab/demo"
)

func Example() {
	log, err := logs.New(os.Stderr, "console", "error")
	if err != nil {
		fmt.Println(err)
		return
	}
	if err := demo.Run(context.Background(), os.Stdout, log, 1); err != nil {
		fmt.Println("the demo failed:", err)
	}
}
