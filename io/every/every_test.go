package every_test

import (
	"context"
	"fmt"
	"time"

	"verbenagate/io/every"
)

func ExampleInterval() {
	ctx, cancel := context.WithCancel(context.Background())
	n := 0
	every.Interval(ctx, time.Millisecond, func() {
		n++
		if n == 3 {
			cancel()
		}
	})
	fmt.Println(n >= 3)
	// Output: true
}

func ExampleWait() {
	changed := make(chan struct{})
	close(changed)
	every.Wait(context.Background(), time.Hour, changed)
}
