package server_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/jackc/pgx/v5/pgtype"

	"verbenagate/lab/server"
)

// Guards against wrong types in ParameterDescription and RowDescription. Drivers choose the encoding of values by these
// types.
func TestDescribe(t *testing.T) {
	s := startServer(t, server.Config{Primary: true, Term: 1})
	c := connect(t, s)
	types := pgtype.NewMap()
	name := func(oid uint32) string {
		if typ, ok := types.TypeForOID(oid); ok {
			return typ.Name
		}
		return fmt.Sprint(oid)
	}
	datadriven.RunTest(t, "_fixtures/describe.txt", func(t *testing.T, d *datadriven.TestData) string {
		if d.Cmd == "exec" {
			if _, err := c.Exec(testContext(t), d.Input); err != nil {
				return "error " + sqlState(err) + "\n"
			}
			return "ok\n"
		}
		desc, err := c.Prepare(testContext(t), d.Pos, d.Input)
		if err != nil {
			return "error " + sqlState(err) + "\n"
		}
		var b strings.Builder
		for i, oid := range desc.ParamOIDs {
			fmt.Fprintf(&b, "$%d %s\n", i+1, name(oid))
		}
		for _, f := range desc.Fields {
			fmt.Fprintf(&b, "%s %s\n", f.Name, name(f.DataTypeOID))
		}
		if len(desc.Fields) == 0 {
			b.WriteString("no rows\n")
		}
		return b.String()
	})
}
