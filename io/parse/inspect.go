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

// findings collects what the walk over a statement and everything nested in it found.
type findings struct {
	tableNames  map[string]struct{}
	cteScopes   [][]string // names of the common table expressions that are visible at the current node
	hasWrite    bool       // INSERT, UPDATE, DELETE, MERGE or INTO at any depth
	hasUnknown  bool       // row locks, or functions and operators that are not known to be reads
	pinsSession bool       // leaves state in the server session
	refusal     string     // why the statement is rejected, or ""
}

// inspect walks every message below node, so that it finds nested statements wherever they stand.
func inspect(node *pgquery.Node) *findings {
	f := &findings{tableNames: map[string]struct{}{}}
	if node != nil {
		f.walk(node.ProtoReflect())
	}
	return f
}

// selectClass returns the class of a SELECT with these findings.
func (f *findings) selectClass() stmt.Class {
	switch {
	case f.hasWrite:
		return stmt.Write
	case f.hasUnknown:
		return stmt.Unknown
	}
	return stmt.Read
}

// refusalReason returns why the statement is rejected, or "" if it is not.
func (f *findings) refusalReason() string { return f.refusal }

// tables returns the sorted names of the tables, without the names of common table expressions.
func (f *findings) tables() []string {
	return slices.Sorted(maps.Keys(f.tableNames))
}

// walk visits m and all messages below it. It walks a WITH clause before the other fields, because they see its names.
func (f *findings) walk(m protoreflect.Message) {
	f.visit(m.Interface())
	if d := m.Descriptor().Fields().ByName("with_clause"); d != nil && m.Has(d) {
		f.walkWith(m.Get(d).Message().Interface().(*pgquery.WithClause))
		defer func() { f.cteScopes = f.cteScopes[:len(f.cteScopes)-1] }()
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

// walkWith walks the common table expressions of a WITH clause and pushes a scope with their names, which the caller
// pops. An expression sees the names of the expressions before it, and with RECURSIVE the names of all of them. Without
// RECURSIVE, an expression's own name inside the expression therefore means a table.
func (f *findings) walkWith(w *pgquery.WithClause) {
	var names []string
	for _, n := range w.Ctes {
		names = append(names, n.GetCommonTableExpr().GetCtename())
	}
	f.cteScopes = append(f.cteScopes, nil)
	top := len(f.cteScopes) - 1
	if w.Recursive {
		f.cteScopes[top] = names
	}
	for i, n := range w.Ctes {
		f.walk(n.ProtoReflect())
		if !w.Recursive {
			f.cteScopes[top] = names[:i+1]
		}
	}
}

func (f *findings) visit(m proto.Message) {
	switch n := m.(type) {
	case *pgquery.InsertStmt, *pgquery.UpdateStmt, *pgquery.DeleteStmt, *pgquery.MergeStmt, *pgquery.IntoClause:
		f.hasWrite = true
	case *pgquery.LockingClause:
		f.hasUnknown = true
	case *pgquery.RangeVar:
		f.visitTable(n)
	case *pgquery.FuncCall:
		f.visitFunction(n)
	case *pgquery.A_Expr:
		// OPERATOR(schema.+) may name a user-defined operator, which can call any function.
		if names := nameParts(n.Name); len(names) > 1 && names[0] != "pg_catalog" {
			f.hasUnknown = true
		}
	case *pgquery.String:
		if n.Sval == "pg_temp" {
			f.pinsSession = true
		}
	}
}

func (f *findings) visitTable(n *pgquery.RangeVar) {
	if n.Relpersistence == "t" || strings.HasPrefix(n.Schemaname, "pg_temp") {
		f.pinsSession = true
	}
	name := n.Relname
	if n.Schemaname != "" {
		name = n.Schemaname + "." + name
	} else if slices.ContainsFunc(f.cteScopes, func(s []string) bool { return slices.Contains(s, name) }) {
		return
	}
	f.tableNames[name] = struct{}{}
}

func (f *findings) visitFunction(n *pgquery.FuncCall) {
	names := nameParts(n.Funcname)
	if len(names) == 0 {
		f.hasUnknown = true
		return
	}
	name := names[len(names)-1]
	builtIn := len(names) == 1 || len(names) == 2 && names[0] == "pg_catalog"
	if !builtIn || !pureFunctions[name] {
		f.hasUnknown = true
	}
	if !builtIn {
		return
	}
	switch {
	case name == "set_config":
		if len(n.Args) != 3 || n.Args[2].GetAConst() == nil || !boolValue(n.Args[2]) {
			f.pinsSession = true
		}
	case strings.HasPrefix(name, "pg_advisory_") || strings.HasPrefix(name, "pg_try_advisory_"):
		if !strings.Contains(name, "_xact_") {
			f.pinsSession = true
		}
	case name == "currval" || name == "lastval":
		f.refusal = name + " depends on the server connection that called nextval; use RETURNING"
	}
}

// nameParts returns the parts of a qualified name.
func nameParts(nodes []*pgquery.Node) []string {
	var names []string
	for _, n := range nodes {
		names = append(names, n.GetString_().GetSval())
	}
	return names
}
