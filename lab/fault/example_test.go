package fault_test

import (
	"fmt"
	"net"
	"time"

	"verbenagate/lab/fault"
)

// A black hole accepts connections but never replies.
func Example() {
	target, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fmt.Println(err)
		return
	}
	defer func() { _ = target.Close() }()
	l, err := fault.New(target.Addr().String())
	if err != nil {
		fmt.Println(err)
		return
	}
	defer l.Close()
	l.BlackHole(true)
	c, err := net.Dial("tcp", l.Addr())
	fmt.Println(err)
	_ = c.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
	_, err = c.Read(make([]byte, 1))
	fmt.Println(err.(net.Error).Timeout())
	// Output:
	// <nil>
	// true
}
