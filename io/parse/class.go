package parse

import (
	"strings"

	pgquery "github.com/pganalyze/pg_query_go/v6"

	"verbenagate/core/stmt"
)

// cursorHold is CURSOR_OPT_HOLD of PostgreSQL: the cursor outlives its transaction.
const cursorHold = 0x0020

// verdict is the class and the effect of a statement, with the reason of a refusal.
type verdict struct {
	class  stmt.Class
	effect stmt.Effect
	reason string
}

func refuse(reason string) verdict {
	return verdict{class: stmt.Unknown, effect: stmt.EffectRefused, reason: reason}
}

// describe classifies one statement from its own kind and from everything nested in it.
func describe(node *pgquery.Node, fp uint64) stmt.Info {
	f := inspect(node)
	v := judge(node, f)
	if v.effect != stmt.EffectRefused {
		if reason := f.refused(); reason != "" {
			v = refuse(reason)
		} else if v.effect == stmt.EffectNone && f.pins {
			v.effect = stmt.EffectPin
		}
	}
	return stmt.NewInfo(v.class, v.effect, fp, f.tables(), v.reason)
}

func judge(node *pgquery.Node, f *findings) verdict {
	switch n := node.GetNode().(type) {
	case *pgquery.Node_SelectStmt:
		return verdict{class: f.class()}
	case *pgquery.Node_ExplainStmt:
		return explain(n.ExplainStmt)
	case *pgquery.Node_VariableShowStmt:
		return show(n.VariableShowStmt)
	case *pgquery.Node_VariableSetStmt:
		return set(n.VariableSetStmt)
	case *pgquery.Node_TransactionStmt:
		return transaction(n.TransactionStmt)
	case *pgquery.Node_CopyStmt:
		return refuse("COPY is not supported")
	case *pgquery.Node_DeallocateStmt:
		// The server connection's statements belong to the proxy, which shares them between callers.
		if n.DeallocateStmt.Isall || n.DeallocateStmt.Name == "" {
			return refuse("DEALLOCATE ALL is not supported; use DISCARD ALL")
		}
	case *pgquery.Node_DiscardStmt:
		if n.DiscardStmt.Target == pgquery.DiscardMode_DISCARD_ALL {
			return verdict{effect: stmt.EffectReset}
		}
	case *pgquery.Node_ListenStmt, *pgquery.Node_PrepareStmt, *pgquery.Node_LoadStmt:
		return verdict{effect: stmt.EffectPin}
	case *pgquery.Node_DeclareCursorStmt:
		if n.DeclareCursorStmt.Options&cursorHold != 0 {
			return verdict{effect: stmt.EffectPin}
		}
	case *pgquery.Node_LockStmt, *pgquery.Node_CallStmt, *pgquery.Node_DoStmt, *pgquery.Node_UnlistenStmt,
		*pgquery.Node_FetchStmt, *pgquery.Node_ClosePortalStmt, *pgquery.Node_ExecuteStmt, *pgquery.Node_CheckPointStmt,
		*pgquery.Node_ConstraintsSetStmt:
		// What these do depends on the session's state or on code that the text does not show.
	default:
		if writes(node) {
			return verdict{class: stmt.Write}
		}
	}
	return verdict{class: stmt.Unknown}
}

// writes reports whether the statement is of a kind that changes data or definitions.
func writes(node *pgquery.Node) bool {
	name := kind(node)
	if dml[name] {
		return true
	}
	for _, p := range ddlPrefixes {
		if strings.HasPrefix(name, p) {
			return true
		}
	}
	return false
}

// kind returns the name of the node's type in PostgreSQL, for example InsertStmt.
func kind(node *pgquery.Node) string {
	m := node.ProtoReflect()
	f := m.WhichOneof(m.Descriptor().Oneofs().Get(0))
	if f == nil {
		return ""
	}
	return string(f.Message().Name())
}

var (
	dml         = map[string]bool{"InsertStmt": true, "UpdateStmt": true, "DeleteStmt": true, "MergeStmt": true}
	ddlPrefixes = []string{
		"Create", "Alter", "Drop", "Truncate", "Index", "View", "Rename", "Comment", "Grant", "Rule", "Refresh",
		"Reindex", "Vacuum", "Cluster", "Define", "CompositeType", "ImportForeign", "SecLabel", "Reassign", "Notify",
	}
)

// explain treats the statement that ANALYZE executes like the statement itself.
func explain(n *pgquery.ExplainStmt) verdict {
	analyze := false
	for _, o := range n.Options {
		if d := o.GetDefElem(); d != nil && strings.EqualFold(d.Defname, "analyze") {
			analyze = d.Arg == nil || truth(d.Arg)
		}
	}
	if !analyze {
		return verdict{class: stmt.Read}
	}
	return judge(n.Query, inspect(n.Query))
}

// show sends parameters that differ between a primary and a replica to the primary: clients use them to find out
// whether the connection accepts writes.
func show(n *pgquery.VariableShowStmt) verdict {
	switch strings.ToLower(n.Name) {
	case "transaction_read_only", "in_hot_standby", "all":
		return verdict{class: stmt.Unknown}
	}
	return verdict{class: stmt.Read}
}

// set pins the session unless the setting ends with the transaction or returns to the default, which an unpinned
// server connection has already.
func set(n *pgquery.VariableSetStmt) verdict {
	switch {
	case n.IsLocal, n.Kind == pgquery.VariableSetKind_VAR_SET_MULTI && n.Name != "SESSION CHARACTERISTICS":
		return verdict{}
	case n.Kind == pgquery.VariableSetKind_VAR_SET_DEFAULT, n.Kind == pgquery.VariableSetKind_VAR_RESET,
		n.Kind == pgquery.VariableSetKind_VAR_RESET_ALL:
		return verdict{}
	}
	return verdict{effect: stmt.EffectPin}
}

func transaction(n *pgquery.TransactionStmt) verdict {
	switch n.Kind {
	case pgquery.TransactionStmtKind_TRANS_STMT_BEGIN, pgquery.TransactionStmtKind_TRANS_STMT_START:
		if readOnly(n.Options) {
			return verdict{class: stmt.BeginReadOnly}
		}
		return verdict{class: stmt.Begin}
	case pgquery.TransactionStmtKind_TRANS_STMT_COMMIT:
		return verdict{class: stmt.Commit}
	case pgquery.TransactionStmtKind_TRANS_STMT_ROLLBACK:
		return verdict{class: stmt.Rollback}
	case pgquery.TransactionStmtKind_TRANS_STMT_PREPARE, pgquery.TransactionStmtKind_TRANS_STMT_COMMIT_PREPARED,
		pgquery.TransactionStmtKind_TRANS_STMT_ROLLBACK_PREPARED:
		return refuse("two-phase commit is not supported")
	}
	return verdict{}
}

// readOnly reports whether the transaction may run on a replica; a replica refuses serializable transactions.
func readOnly(options []*pgquery.Node) bool {
	ro := false
	for _, o := range options {
		d := o.GetDefElem()
		switch {
		case d == nil:
		case d.Defname == "transaction_read_only":
			ro = truth(d.Arg)
		case d.Defname == "transaction_isolation" && d.Arg.GetAConst().GetSval().GetSval() == "serializable":
			return false
		}
	}
	return ro
}

// truth reads the value of a Boolean option.
func truth(arg *pgquery.Node) bool {
	if c := arg.GetAConst(); c != nil {
		if c.GetSval() != nil {
			return word(c.GetSval().Sval)
		}
		return c.GetBoolval().GetBoolval() || c.GetIval().GetIval() != 0
	}
	if s := arg.GetString_(); s != nil {
		return word(s.Sval)
	}
	return arg.GetInteger().GetIval() != 0 || arg.GetBoolean().GetBoolval()
}

func word(s string) bool {
	switch strings.ToLower(s) {
	case "false", "off", "no", "0":
		return false
	}
	return true
}
