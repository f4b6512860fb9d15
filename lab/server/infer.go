package server

import (
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5/pgtype"
)

// column is a column of a table.
type column struct {
	table, name string
	typ         uint32
}

// schema lists the columns of all tables in order.
type schema []column

// typeOf returns the type of a column; tables named in the statement are preferred.
func (s schema) typeOf(name string, toks []token) uint32 {
	var typ uint32
	name = strings.Trim(name, `"`)
	for _, c := range s {
		if !strings.EqualFold(c.name, name) {
			continue
		}
		for _, t := range toks {
			if (t.kind == kindWord || t.kind == kindQuoted) && strings.EqualFold(strings.Trim(t.text, `"`), c.table) {
				return c.typ
			}
		}
		typ = c.typ
	}
	return typ
}

func (s schema) table(name string) []column {
	var out []column
	for _, c := range s {
		if strings.EqualFold(c.table, strings.Trim(name, `"`)) {
			out = append(out, c)
		}
	}
	return out
}

// infer derives types of parameters and result columns from the text of a translated statement.
type infer struct {
	toks       []token
	schema     schema
	params     []uint32
	sleepParam int
}

// paramTypes returns the type of each parameter: the declared one, else the type of the column or cast that it meets.
func (f *infer) paramTypes(declared []uint32) []uint32 {
	n := max(len(declared), f.sleepParam)
	for _, t := range f.toks {
		if t.kind == kindParam {
			k, _ := strconv.Atoi(t.text[1:])
			n = max(n, k)
		}
	}
	f.params = make([]uint32, n)
	copy(f.params, declared)
	if f.sleepParam > 0 && f.params[f.sleepParam-1] == 0 {
		f.params[f.sleepParam-1] = pgtype.Float8OID
	}
	f.insertParams()
	for i, t := range f.toks {
		if t.kind != kindParam {
			continue
		}
		k, _ := strconv.Atoi(t.text[1:])
		if k == 0 || f.params[k-1] != 0 {
			continue
		}
		if t.typ != 0 {
			f.params[k-1] = t.typ
			continue
		}
		f.params[k-1] = f.neighbour(i)
	}
	for i := range f.params {
		if f.params[i] == 0 {
			f.params[i] = pgtype.TextOID
		}
	}
	return f.params
}

// insertParams types the parameters of VALUES lists by the columns of the table.
func (f *infer) insertParams() {
	if len(f.toks) < 4 || !f.toks[0].is("insert") {
		return
	}
	i := 2
	cols := f.schema.table(f.toks[i].text)
	i++
	if i < len(f.toks) && f.toks[i].is("(") {
		end := matching(f.toks, i)
		if end < 0 {
			return
		}
		var listed []column
		for _, t := range f.toks[i+1 : end] {
			if !t.is(",") {
				listed = append(listed, column{name: t.text, typ: f.schema.typeOf(t.text, f.toks[2:3])})
			}
		}
		cols = listed
		i = end + 1
	}
	if i >= len(f.toks) || !f.toks[i].is("values") {
		return
	}
	depth, at := 0, 0
	for _, t := range f.toks[i+1:] {
		switch {
		case t.is("("):
			if depth++; depth == 1 {
				at = 0
			}
		case t.is(")"):
			depth--
		case t.is(",") && depth == 1:
			at++
		case depth == 0 && !t.is(","):
			return
		case t.kind == kindParam && depth == 1 && at < len(cols):
			k, _ := strconv.Atoi(t.text[1:])
			if k > 0 && f.params[k-1] == 0 && t.typ == 0 {
				f.params[k-1] = cols[at].typ
			}
		}
	}
}

// neighbour types the parameter at i by the operand on the other side of its operator.
func (f *infer) neighbour(i int) uint32 {
	if i > 0 && (f.toks[i-1].is("limit") || f.toks[i-1].is("offset")) {
		return pgtype.Int8OID
	}
	if i > 1 && f.toks[i-1].kind == kindOp && f.toks[i-2].is(")") {
		if start := operandStart(f.toks[:i-1]); start >= 0 {
			if typ := f.exprType(f.toks[start : i-1]); typ != 0 {
				return typ
			}
		}
	}
	for j := i - 1; j >= 0; j-- {
		t := f.toks[j]
		switch {
		case t.is("select") || t.is("where") || t.is("values") || t.is("set") || t.is("or"):
			j = 0
		case isOperand(t):
			if typ := f.operand(t); typ != 0 {
				return typ
			}
		}
		if f.stop(j, i) {
			break
		}
	}
	for j := i + 1; j < len(f.toks) && j < i+5; j++ {
		if isOperand(f.toks[j]) {
			if typ := f.operand(f.toks[j]); typ != 0 {
				return typ
			}
		}
		if f.toks[j].is(",") || f.toks[j].is("and") || f.toks[j].is("or") || f.toks[j].is("from") {
			break
		}
	}
	return 0
}

// stop ends the search to the left at a comma of an assignment list, but not inside IN lists.
func (f *infer) stop(j, i int) bool {
	if j <= 0 || j == i-1 {
		return j <= 0
	}
	return f.toks[j].is("and") && !f.between(j)
}

// between reports whether the AND at j belongs to a BETWEEN.
func (f *infer) between(j int) bool {
	for k := j - 1; k >= 0 && k >= j-4; k-- {
		if f.toks[k].is("between") {
			return true
		}
	}
	return false
}

func isOperand(t token) bool { return t.kind != kindOp && !isKeyword(t) }

func (f *infer) operand(t token) uint32 {
	if t.typ != 0 {
		return t.typ
	}
	switch t.kind {
	case kindWord, kindQuoted:
		return f.schema.typeOf(t.text, f.toks)
	case kindNumber:
		if strings.ContainsAny(t.text, ".eE") {
			return pgtype.Float8OID
		}
		return pgtype.Int8OID
	}
	return 0
}

// items returns the expressions of the select list or of RETURNING, or nil if there is none.
func items(toks []token) [][]token {
	start := -1
	depth := 0
	write, _ := writes(toks)
	for i, t := range toks {
		if t.is("(") {
			depth++
		}
		if t.is(")") {
			depth--
		}
		if depth == 0 && (t.is("returning") || !write && t.is("select")) {
			start = i + 1
			break
		}
	}
	if start < 0 {
		return nil
	}
	if start < len(toks) && (toks[start].is("distinct") || toks[start].is("all")) {
		start++
	}
	return splitList(toks[start:])
}

// splitList cuts at the commas of the outermost level and ends at the keyword that follows a select list.
func splitList(toks []token) [][]token {
	var out [][]token
	from, depth := 0, 0
	for i, t := range toks {
		if t.is("(") {
			depth++
		}
		if t.is(")") {
			depth--
		}
		if depth > 0 {
			continue
		}
		end := depth < 0
		for _, k := range []string{"from", "where", "union", "order", "limit", "group", "except", "intersect"} {
			end = end || t.is(k)
		}
		if end {
			return append(out, toks[from:i])
		}
		if t.is(",") {
			out = append(out, toks[from:i])
			from = i + 1
		}
	}
	return append(out, toks[from:])
}

// withoutAlias returns the expression and its alias.
func withoutAlias(item []token) (expr []token, alias string) {
	n := len(item)
	if n > 2 && item[n-2].is("as") {
		return item[:n-2], strings.Trim(item[n-1].text, `"`)
	}
	if n > 1 && (item[n-1].kind == kindQuoted || item[n-1].kind == kindWord) && !item[n-2].is(".") && !item[n-1].is("end") &&
		(item[n-2].kind != kindOp || item[n-2].is(")")) && !isKeyword(item[n-2]) && !item[n-2].is("is") && !item[n-1].is("null") {
		return item[:n-1], strings.Trim(item[n-1].text, `"`)
	}
	return item, ""
}

// columnName returns the name that PostgreSQL gives to an expression.
func columnName(expr []token) string {
	if len(expr) == 0 {
		return "?column?"
	}
	first := expr[0]
	if first.name != "" {
		return first.name
	}
	if first.kind == kindWord && len(expr) > 1 && expr[1].is("(") && matching(expr, 1) == len(expr)-1 {
		return strings.ToLower(first.text)
	}
	if first.is("case") {
		return "case"
	}
	for i, t := range expr {
		if i%2 == 0 && t.kind != kindWord && t.kind != kindQuoted || i%2 == 1 && !t.is(".") {
			return "?column?"
		}
	}
	last := expr[len(expr)-1]
	if last.is("true") || last.is("false") {
		return "bool"
	}
	if last.is("null") {
		return "?column?"
	}
	return strings.Trim(last.text, `"`)
}

// exprType returns the type of an expression, or 0 if the text does not tell.
func (f *infer) exprType(expr []token) uint32 {
	if len(expr) == 0 {
		return 0
	}
	if typ := f.operatorType(expr); typ != 0 {
		return typ
	}
	first := expr[0]
	switch {
	case first.typ != 0:
		return first.typ
	case first.is("-") || first.is("+"):
		return f.exprType(expr[1:])
	case first.is("("):
		end := matching(expr, 0)
		if end < 0 {
			return 0
		}
		if inner := items(expr[1:end]); expr[1].is("select") && len(inner) > 0 {
			e, _ := withoutAlias(inner[0])
			return f.exprType(e)
		}
		return f.exprType(expr[1:end])
	case first.is("case"):
		for i, t := range expr {
			if t.is("then") && i+1 < len(expr) {
				return f.exprType(expr[i+1 : i+2])
			}
		}
	case first.kind == kindWord && len(expr) > 1 && expr[1].is("("):
		return f.callType(expr)
	case first.is("true") || first.is("false"):
		return pgtype.BoolOID
	case first.kind == kindString:
		return pgtype.TextOID
	case first.kind == kindNumber:
		if strings.ContainsAny(first.text, ".eE") {
			return pgtype.Float8OID
		}
		if len(first.text) > 9 {
			return pgtype.Int8OID
		}
		return pgtype.Int4OID
	case first.kind == kindParam:
		if k, _ := strconv.Atoi(first.text[1:]); k > 0 && k <= len(f.params) {
			return f.params[k-1]
		}
	}
	if len(expr) >= 3 && expr[1].is(".") {
		return f.schema.typeOf(expr[2].text, f.toks)
	}
	return f.schema.typeOf(first.text, f.toks)
}

// operatorType types comparisons, concatenations and arithmetic.
func (f *infer) operatorType(expr []token) uint32 {
	depth := 0
	if expr[0].is("case") {
		return 0
	}
	arithmetic := -1
	for i, t := range expr {
		if t.is("(") {
			depth++
		}
		if t.is(")") {
			depth--
		}
		if depth != 0 {
			continue
		}
		switch strings.ToLower(t.text) {
		case "=", "<", ">", "<=", ">=", "<>", "!=", "like", "in", "is", "and", "or", "not", "between", "exists":
			if t.kind == kindOp || t.kind == kindWord {
				return pgtype.BoolOID
			}
		case "||", "->>":
			return pgtype.TextOID
		case "+", "-", "*", "/", "%":
			if i > 0 && t.kind == kindOp {
				arithmetic = i
			}
		}
	}
	if arithmetic <= 0 || arithmetic+1 >= len(expr) {
		return 0
	}
	a, b := f.exprType(expr[:arithmetic]), f.exprType(expr[arithmetic+1:])
	for _, typ := range []uint32{pgtype.Float8OID, pgtype.Float4OID, pgtype.NumericOID, pgtype.Int8OID} {
		if a == typ || b == typ {
			return typ
		}
	}
	return max(a, b)
}

func (f *infer) callType(expr []token) uint32 {
	end := matching(expr, 1)
	if end < 0 {
		return 0
	}
	args := splitList(expr[2:end])
	switch strings.ToLower(expr[0].text) {
	case "count", "total_changes", "row_number", "rank":
		return pgtype.Int8OID
	case "avg", "round", "total":
		return pgtype.Float8OID
	case "length", "strpos", "instr":
		return pgtype.Int4OID
	case "lower", "upper", "substr", "substring", "trim", "concat", "group_concat", "string_agg", "replace", "hex":
		return pgtype.TextOID
	case "sum":
		switch f.exprType(args[0]) {
		case pgtype.Float4OID, pgtype.Float8OID, pgtype.NumericOID:
			return pgtype.Float8OID
		}
		return pgtype.Int8OID
	case "min", "max", "coalesce", "nullif", "abs", "ifnull":
		return f.exprType(args[0])
	case "cast":
		for i := len(args[0]) - 1; i > 0; i-- {
			if args[0][i].is("as") {
				return typeOf(render(args[0][i+1:]))
			}
		}
	}
	return 0
}

// columns types and names the result columns from the text alone.
func (f *infer) columns() []column {
	var out []column
	for _, item := range items(f.toks) {
		expr, alias := withoutAlias(item)
		if n := len(expr); n > 0 && expr[n-1].is("*") && (n == 1 || expr[n-2].is(".")) {
			return nil
		}
		c := column{name: alias, typ: f.exprType(expr)}
		if alias == "" {
			c.name = columnName(expr)
		}
		out = append(out, c)
	}
	return out
}
