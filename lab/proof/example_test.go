package proof_test

import (
	"fmt"
	"time"

	"verbenagate/lab/proof"
)

func ExampleSchedule() {
	for _, f := range proof.Schedule(1, 1500*time.Millisecond, 3, 4) {
		fmt.Println(f)
	}
	// Output:
	// 659ms to 960ms: kill VM 2
	// 1.157s to 1.5s: isolate server 1
	// 1.247s to 1.5s: lag of server 1 by 1.714s
	// 1.418s to 1.5s: cut server from VMs 1
}
