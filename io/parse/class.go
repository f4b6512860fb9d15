package parse

import (
	"strings"

	pgquery "github.com/pganalyze/pg_query_go/v6"

	"verbenagate/core/stmt"
)

// cursorOptHold is PostgreSQL's CURSOR_OPT_HOLD: the cursor stays open after its transaction ends.
const cursorOptHold = 0x0020

// classification holds the class and the effect of a statement. The reason is set only if the effect is EffectRefused.
type classification struct {
	class  stmt.Class
	effect stmt.Effect
	reason string
}

// refuse returns the classification of a statement that is rejected for the reason given.
func refuse(reason string) classification {
	return classification{class: stmt.Unknown, effect: stmt.EffectRefused, reason: reason}
}

// classifyStatement classifies a statement by its node type and by everything nested in it.
func classifyStatement(node *pgquery.Node, fp uint64) stmt.Info {
	f := inspect(node)
	c := classifyByNodeType(node, f)
	if c.effect != stmt.EffectRefused {
		if reason := f.refusalReason(); reason != "" {
			c = refuse(reason)
		} else if c.effect == stmt.EffectNone && f.pinsSession {
			c.effect = stmt.EffectPin
		}
	}
	return stmt.NewInfo(c.class, c.effect, fp, f.tables(), c.reason)
}

// classifyByNodeType classifies a statement by the type of its top node; findings decide the class of a SELECT.
func classifyByNodeType(node *pgquery.Node, f *findings) classification {
	switch n := node.GetNode().(type) {
	case *pgquery.Node_SelectStmt:
		return classification{class: f.selectClass()}
	case *pgquery.Node_ExplainStmt:
		return classifyExplain(n.ExplainStmt)
	case *pgquery.Node_VariableShowStmt:
		return classifyShow(n.VariableShowStmt)
	case *pgquery.Node_VariableSetStmt:
		return classifySet(n.VariableSetStmt)
	case *pgquery.Node_TransactionStmt:
		return classifyTransaction(n.TransactionStmt)
	case *pgquery.Node_CopyStmt:
		return refuse("COPY is not supported")
	case *pgquery.Node_DeallocateStmt:
		// The proxy owns the prepared statements of a server connection and shares them between callers.
		if n.DeallocateStmt.Isall || n.DeallocateStmt.Name == "" {
			return refuse("DEALLOCATE ALL is not supported; use DISCARD ALL")
		}
	case *pgquery.Node_DiscardStmt:
		if n.DiscardStmt.Target == pgquery.DiscardMode_DISCARD_ALL {
			return classification{effect: stmt.EffectReset}
		}
	case *pgquery.Node_ListenStmt, *pgquery.Node_PrepareStmt, *pgquery.Node_LoadStmt:
		return classification{effect: stmt.EffectPin}
	case *pgquery.Node_DeclareCursorStmt:
		if n.DeclareCursorStmt.Options&cursorOptHold != 0 {
			return classification{effect: stmt.EffectPin}
		}
	case *pgquery.Node_LockStmt, *pgquery.Node_CallStmt, *pgquery.Node_DoStmt, *pgquery.Node_UnlistenStmt,
		*pgquery.Node_FetchStmt, *pgquery.Node_ClosePortalStmt, *pgquery.Node_ExecuteStmt, *pgquery.Node_CheckPointStmt,
		*pgquery.Node_ConstraintsSetStmt:
		// Their effect depends on the state of the session or on code that is not part of the text.
	default:
		if isWrite(node) {
			return classification{class: stmt.Write}
		}
	}
	return classification{class: stmt.Unknown}
}

// isWrite reports whether the type of the statement is one that changes data or the schema.
func isWrite(node *pgquery.Node) bool {
	name := nodeType(node)
	if dmlTypes[name] {
		return true
	}
	for _, p := range ddlTypePrefixes {
		if strings.HasPrefix(name, p) {
			return true
		}
	}
	return false
}

// nodeType returns PostgreSQL's name of the node's type, for example InsertStmt; "" if the node is empty.
func nodeType(node *pgquery.Node) string {
	m := node.ProtoReflect()
	f := m.WhichOneof(m.Descriptor().Oneofs().Get(0))
	if f == nil {
		return ""
	}
	return string(f.Message().Name())
}

var (
	dmlTypes        = map[string]bool{"InsertStmt": true, "UpdateStmt": true, "DeleteStmt": true, "MergeStmt": true}
	ddlTypePrefixes = []string{
		"Create", "Alter", "Drop", "Truncate", "Index", "View", "Rename", "Comment", "Grant", "Rule", "Refresh",
		"Reindex", "Vacuum", "Cluster", "Define", "CompositeType", "ImportForeign", "SecLabel", "Reassign", "Notify",
	}
)

// classifyExplain returns Read for a plain EXPLAIN. EXPLAIN ANALYZE executes its statement and is classified like it.
func classifyExplain(n *pgquery.ExplainStmt) classification {
	analyze := false
	for _, o := range n.Options {
		if d := o.GetDefElem(); d != nil && strings.EqualFold(d.Defname, "analyze") {
			analyze = d.Arg == nil || boolValue(d.Arg)
		}
	}
	if !analyze {
		return classification{class: stmt.Read}
	}
	return classifyByNodeType(n.Query, inspect(n.Query))
}

// classifyShow returns Unknown, which is routed to the primary, for parameters whose values differ between a primary and
// a replica: clients read them to find out whether the connection accepts writes. All other parameters are reads.
func classifyShow(n *pgquery.VariableShowStmt) classification {
	switch strings.ToLower(n.Name) {
	case "transaction_read_only", "in_hot_standby", "all":
		return classification{class: stmt.Unknown}
	}
	return classification{class: stmt.Read}
}

// classifySet pins the session unless the setting ends with the transaction or is reset to its default. A reset needs no
// pin because an unpinned server connection has the defaults already.
func classifySet(n *pgquery.VariableSetStmt) classification {
	switch {
	case n.IsLocal, n.Kind == pgquery.VariableSetKind_VAR_SET_MULTI && n.Name != "SESSION CHARACTERISTICS":
		return classification{}
	case n.Kind == pgquery.VariableSetKind_VAR_SET_DEFAULT, n.Kind == pgquery.VariableSetKind_VAR_RESET,
		n.Kind == pgquery.VariableSetKind_VAR_RESET_ALL:
		return classification{}
	}
	return classification{effect: stmt.EffectPin}
}

func classifyTransaction(n *pgquery.TransactionStmt) classification {
	switch n.Kind {
	case pgquery.TransactionStmtKind_TRANS_STMT_BEGIN, pgquery.TransactionStmtKind_TRANS_STMT_START:
		if mayRunOnReplica(n.Options) {
			return classification{class: stmt.BeginReadOnly}
		}
		return classification{class: stmt.Begin}
	case pgquery.TransactionStmtKind_TRANS_STMT_COMMIT:
		return classification{class: stmt.Commit}
	case pgquery.TransactionStmtKind_TRANS_STMT_ROLLBACK:
		return classification{class: stmt.Rollback}
	case pgquery.TransactionStmtKind_TRANS_STMT_PREPARE, pgquery.TransactionStmtKind_TRANS_STMT_COMMIT_PREPARED,
		pgquery.TransactionStmtKind_TRANS_STMT_ROLLBACK_PREPARED:
		return refuse("two-phase commit is not supported")
	}
	return classification{}
}

// mayRunOnReplica reports whether a transaction with these options may run on a replica: it must be read-only and not
// serializable, because a replica rejects serializable transactions.
func mayRunOnReplica(options []*pgquery.Node) bool {
	ro := false
	for _, o := range options {
		d := o.GetDefElem()
		switch {
		case d == nil:
		case d.Defname == "transaction_read_only":
			ro = boolValue(d.Arg)
		case d.Defname == "transaction_isolation" && d.Arg.GetAConst().GetSval().GetSval() == "serializable":
			return false
		}
	}
	return ro
}

// boolValue returns the value of a Boolean option or argument, which may be a text, a number or a Boolean.
func boolValue(arg *pgquery.Node) bool {
	if c := arg.GetAConst(); c != nil {
		if c.GetSval() != nil {
			return boolFromText(c.GetSval().Sval)
		}
		return c.GetBoolval().GetBoolval() || c.GetIval().GetIval() != 0
	}
	if s := arg.GetString_(); s != nil {
		return boolFromText(s.Sval)
	}
	return arg.GetInteger().GetIval() != 0 || arg.GetBoolean().GetBoolval()
}

// boolFromText returns false for PostgreSQL's words for false, and true for any other text.
func boolFromText(s string) bool {
	switch strings.ToLower(s) {
	case "false", "off", "no", "0":
		return false
	}
	return true
}
