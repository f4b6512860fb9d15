package server

import (
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5/pgtype"

	"verbenagate/core/port"
)

// controlFunctionName returns the name of the group control function that the statement calls, or "" if it calls none.
func controlFunctionName(toks []token) string {
	if len(toks) < 6 || !toks[0].is("select") || !toks[1].is("*") || !toks[2].is("from") || !toks[4].is("(") {
		return ""
	}
	name := strings.ToLower(toks[3].text)
	if !strings.HasPrefix(name, "verbena_") {
		return ""
	}
	return name
}

var controlColumns = []column{
	{name: "term", typ: pgtype.Int8OID},
	{name: "promised", typ: pgtype.Int8OID},
	{name: "received", typ: pgtype.Int8OID},
	{name: "applied", typ: pgtype.Int8OID},
	{name: "role", typ: pgtype.TextOID},
	{name: "leaving", typ: pgtype.BoolOID},
	{name: "connections", typ: pgtype.Int4OID},
	{name: "replicas", typ: pgtype.TextOID},
}

// runControlFunction runs a group control function. It does not acquire a slot, so that it responds even when all slots
// are taken.
func (c *session) runControlFunction(ctx context.Context, name string, argTokens []token) (*result, error) {
	var args []string
	for _, t := range argTokens {
		if t.kind == kindNumber || t.kind == kindString {
			args = append(args, strings.Trim(t.text, "'"))
		}
	}
	argCounts := map[string]int{"verbena_status": 0, "verbena_promote": 1, "verbena_fence": 1, "verbena_follow": 2}
	n, ok := argCounts[name]
	if !ok {
		return nil, newError("42883", "function %s does not exist", name)
	}
	if len(args) != n {
		return nil, newError("42883", "function %s takes %d literal arguments", name, n)
	}
	var term uint64
	if n > 0 {
		var err error
		if term, err = strconv.ParseUint(args[0], 10, 63); err != nil {
			return nil, newError("22P02", "invalid term %q", args[0])
		}
	}
	var st port.Status
	var err error
	switch name {
	case "verbena_status":
		st = c.srv.Status()
	case "verbena_promote":
		st, err = c.srv.Promote(ctx, term)
	case "verbena_fence":
		st, err = c.srv.Fence(term)
	case "verbena_follow":
		st, err = c.srv.Follow(term, args[1])
	}
	if err != nil {
		return nil, err
	}
	return &result{cols: controlColumns, rows: [][]any{statusRow(st)}, tag: "SELECT 1"}, nil
}

// replicaJSON is the JSON form of a replica in the status row.
type replicaJSON struct {
	Address  string `json:"address"`
	Term     uint64 `json:"term"`
	Received uint64 `json:"received"`
}

func statusRow(st port.Status) []any {
	list := []replicaJSON{}
	for _, r := range st.Replicas {
		list = append(list, replicaJSON(r))
	}
	slices.SortFunc(list, func(a, b replicaJSON) int { return strings.Compare(a.Address, b.Address) })
	text, _ := json.Marshal(list)
	return []any{
		int64(st.Term), int64(st.Promised), int64(st.Received), int64(st.Applied), st.Role.String(), st.Leaving,
		int64(st.Connections), string(text),
	}
}
