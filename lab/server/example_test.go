package server_test

import (
	"context"
	"fmt"

	"github.com/jackc/pgx/v5"

	"verbenagate/lab/server"
)

// A single server can be used as a group whose only member is the primary.
func Example() {
	s, err := server.New(server.Config{Primary: true, Term: 1, Schema: "CREATE TABLE due (plot int, cents int8)"})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer s.Close()
	ctx := context.Background()
	c, err := pgx.Connect(ctx, "postgres://any@"+s.Addr()+"/any?sslmode=disable")
	if err != nil {
		fmt.Println(err)
		return
	}
	defer func() { _ = c.Close(ctx) }()
	tag, err := c.Exec(ctx, "INSERT INTO due VALUES ($1, $2)", 17, 4250)
	fmt.Println(tag, err, c.PgConn().ParameterStatus("verbena.position"))
	// Output: INSERT 0 1 <nil> 1/1
}
