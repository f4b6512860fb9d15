package labcli_test

import (
	"context"
	"fmt"
	"io"
	"os"

	"verbenagate/lab/labcli"
)

func ExampleApp_Run() {
	code := labcli.New(os.Stdout, io.Discard).Run(context.Background(), []string{"run", "missing.yaml"})
	fmt.Println("exit code", code)
	// Output: exit code 2
}
