package parse

import (
	"maps"
	"slices"
	"strings"

	pgquery "github.com/pganalyze/pg_query_go/v6"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"verbenagate/core/stmt"
)

// findings is what a walk over a whole statement collects.
type findings struct {
	names    map[string]struct{}
	scopes   [][]string // names of the common table expressions that are visible at this place
	writes   bool       // INSERT, UPDATE, DELETE, MERGE or INTO at any depth
	unproven bool       // row locks, or functions and operators that are not known to be reads
	pins     bool
	reason   string
}

// inspect walks every message below node, so that no place in which a statement can hide is missed.
func inspect(node *pgquery.Node) *findings {
	f := &findings{names: map[string]struct{}{}}
	if node != nil {
		f.walk(node.ProtoReflect())
	}
	return f
}

// class returns the class of a SELECT.
func (f *findings) class() stmt.Class {
	switch {
	case f.writes:
		return stmt.Write
	case f.unproven:
		return stmt.Unknown
	}
	return stmt.Read
}

func (f *findings) refused() string { return f.reason }

// tables returns the names of the tables in ascending order, without the names of common table expressions.
func (f *findings) tables() []string {
	return slices.Sorted(maps.Keys(f.names))
}

func (f *findings) walk(m protoreflect.Message) {
	f.visit(m.Interface())
	if d := m.Descriptor().Fields().ByName("with_clause"); d != nil && m.Has(d) {
		f.with(m.Get(d).Message().Interface().(*pgquery.WithClause))
		defer func() { f.scopes = f.scopes[:len(f.scopes)-1] }()
	}
	m.Range(func(d protoreflect.FieldDescriptor, v protoreflect.Value) bool {
		switch {
		case d.Kind() != protoreflect.MessageKind, d.Name() == "with_clause":
		case d.IsList():
			l := v.List()
			for i := range l.Len() {
				f.walk(l.Get(i).Message())
			}
		case !d.IsMap():
			f.walk(v.Message())
		}
		return true
	})
}

// with walks the expressions of a WITH and leaves their names in scope. An expression sees the ones before it, and with
// RECURSIVE all of them; otherwise a table of the expression's own name is a table.
func (f *findings) with(w *pgquery.WithClause) {
	var names []string
	for _, n := range w.Ctes {
		names = append(names, n.GetCommonTableExpr().GetCtename())
	}
	f.scopes = append(f.scopes, nil)
	top := len(f.scopes) - 1
	if w.Recursive {
		f.scopes[top] = names
	}
	for i, n := range w.Ctes {
		f.walk(n.ProtoReflect())
		if !w.Recursive {
			f.scopes[top] = names[:i+1]
		}
	}
}

func (f *findings) visit(m proto.Message) {
	switch n := m.(type) {
	case *pgquery.InsertStmt, *pgquery.UpdateStmt, *pgquery.DeleteStmt, *pgquery.MergeStmt, *pgquery.IntoClause:
		f.writes = true
	case *pgquery.LockingClause:
		f.unproven = true
	case *pgquery.RangeVar:
		f.table(n)
	case *pgquery.FuncCall:
		f.function(n)
	case *pgquery.A_Expr:
		// OPERATOR(schema.+) may name an operator with any function behind it.
		if names := parts(n.Name); len(names) > 1 && names[0] != "pg_catalog" {
			f.unproven = true
		}
	case *pgquery.String:
		if n.Sval == "pg_temp" {
			f.pins = true
		}
	}
}

func (f *findings) table(n *pgquery.RangeVar) {
	if n.Relpersistence == "t" || strings.HasPrefix(n.Schemaname, "pg_temp") {
		f.pins = true
	}
	name := n.Relname
	if n.Schemaname != "" {
		name = n.Schemaname + "." + name
	} else if slices.ContainsFunc(f.scopes, func(s []string) bool { return slices.Contains(s, name) }) {
		return
	}
	f.names[name] = struct{}{}
}

func (f *findings) function(n *pgquery.FuncCall) {
	names := parts(n.Funcname)
	if len(names) == 0 {
		f.unproven = true
		return
	}
	name := names[len(names)-1]
	builtIn := len(names) == 1 || len(names) == 2 && names[0] == "pg_catalog"
	if !builtIn || !pure[name] {
		f.unproven = true
	}
	if !builtIn {
		return
	}
	switch {
	case name == "set_config":
		if len(n.Args) != 3 || n.Args[2].GetAConst() == nil || !truth(n.Args[2]) {
			f.pins = true
		}
	case strings.HasPrefix(name, "pg_advisory_") || strings.HasPrefix(name, "pg_try_advisory_"):
		if !strings.Contains(name, "_xact_") {
			f.pins = true
		}
	case name == "currval" || name == "lastval":
		f.reason = name + " depends on the server connection that called nextval; use RETURNING"
	}
}

// parts returns the parts of a qualified name.
func parts(nodes []*pgquery.Node) []string {
	var names []string
	for _, n := range nodes {
		names = append(names, n.GetString_().GetSval())
	}
	return names
}
