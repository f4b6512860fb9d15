package plat_test

import (
	"context"
	"fmt"

	"verbenagate/core/port"
	"verbenagate/core/result"
	"verbenagate/io/platf"
	"verbenagate/lab/plat"
)

// The second write takes effect, but its answer is lost, so the client can't tell whether it did.
func Example() {
	p, err := plat.New(plat.Config{})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer p.Close()
	c := platf.New("http://"+p.Addr(), 0)
	defer c.Close()
	fmt.Println(c.Commit(context.Background(), nil, []port.Write{{Key: "config/head", Value: []byte("1")}}))
	p.LoseAnswers(1)
	err = c.Commit(context.Background(), nil, []port.Write{{Key: "config/head", Value: []byte("2")}})
	fmt.Println(result.CodeOf(err))
	r, _ := c.Get(context.Background(), "config/head")
	fmt.Println(string(r.Value), r.Version)
	// Output:
	// <nil>
	// store_unavailable
	// 2 2
}
