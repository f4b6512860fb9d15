package server

import (
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5/pgtype"
)

// column is a column of a table or of a result. typ is its type OID, or 0 if the type is unknown.
type column struct {
	table, name string
	typ         uint32
}

// schema lists the columns of all tables, ordered by table name and column position.
type schema []column

// columnType returns the type of the column with the given name, or 0 if there is none. If several tables have such a
// column, it prefers a table that the statement mentions.
func (s schema) columnType(name string, toks []token) uint32 {
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

func (s schema) tableColumns(name string) []column {
	var out []column
	for _, c := range s {
		if strings.EqualFold(c.table, strings.Trim(name, `"`)) {
			out = append(out, c)
		}
	}
	return out
}

// typeInference infers the types of parameters and result columns from the tokens of a translated statement.
type typeInference struct {
	toks       []token
	schema     schema
	params     []uint32
	sleepParam int
}

// paramTypes returns the type of each parameter. It uses the declared type if there is one, then the type of a cast or of
// the column that the parameter is inserted into or compared with, and text if none is found.
func (f *typeInference) paramTypes(declared []uint32) []uint32 {
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
		f.params[k-1] = f.neighbourType(i)
	}
	for i := range f.params {
		if f.params[i] == 0 {
			f.params[i] = pgtype.TextOID
		}
	}
	return f.params
}

// insertParams gives each parameter in the VALUES lists of an INSERT the type of its target column.
func (f *typeInference) insertParams() {
	if len(f.toks) < 4 || !f.toks[0].is("insert") {
		return
	}
	i := 2
	cols := f.schema.tableColumns(f.toks[i].text)
	i++
	if i < len(f.toks) && f.toks[i].is("(") {
		end := closingParenthesis(f.toks, i)
		if end < 0 {
			return
		}
		var listed []column
		for _, t := range f.toks[i+1 : end] {
			if !t.is(",") {
				listed = append(listed, column{name: t.text, typ: f.schema.columnType(t.text, f.toks[2:3])})
			}
		}
		cols = listed
		i = end + 1
	}
	if i >= len(f.toks) || !f.toks[i].is("values") {
		return
	}
	depth, columnIndex := 0, 0
	for _, t := range f.toks[i+1:] {
		switch {
		case t.is("("):
			if depth++; depth == 1 {
				columnIndex = 0
			}
		case t.is(")"):
			depth--
		case t.is(",") && depth == 1:
			columnIndex++
		case depth == 0 && !t.is(","):
			return
		case t.kind == kindParam && depth == 1 && columnIndex < len(cols):
			k, _ := strconv.Atoi(t.text[1:])
			if k > 0 && f.params[k-1] == 0 && t.typ == 0 {
				f.params[k-1] = cols[columnIndex].typ
			}
		}
	}
}

// neighbourType returns the type of the operand with which the parameter at index i is combined, or 0 if it is unknown.
func (f *typeInference) neighbourType(i int) uint32 {
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
			if typ := f.operandType(t); typ != 0 {
				return typ
			}
		}
		if f.endsLeftSearch(j, i) {
			break
		}
	}
	for j := i + 1; j < len(f.toks) && j < i+5; j++ {
		if isOperand(f.toks[j]) {
			if typ := f.operandType(f.toks[j]); typ != 0 {
				return typ
			}
		}
		if f.toks[j].is(",") || f.toks[j].is("and") || f.toks[j].is("or") || f.toks[j].is("from") {
			break
		}
	}
	return 0
}

// endsLeftSearch reports whether the leftward search for the operand of the parameter at i ends at j. It ends at the start
// of the statement, and at an AND that neither precedes the parameter directly nor is part of a BETWEEN. Commas do not end
// it, so that it passes over the preceding elements of an IN list.
func (f *typeInference) endsLeftSearch(j, i int) bool {
	if j <= 0 || j == i-1 {
		return j <= 0
	}
	return f.toks[j].is("and") && !f.isBetweenAnd(j)
}

// isBetweenAnd reports whether the AND at j is part of a BETWEEN expression.
func (f *typeInference) isBetweenAnd(j int) bool {
	for k := j - 1; k >= 0 && k >= j-4; k-- {
		if f.toks[k].is("between") {
			return true
		}
	}
	return false
}

func isOperand(t token) bool { return t.kind != kindOp && !isKeyword(t) }

func (f *typeInference) operandType(t token) uint32 {
	if t.typ != 0 {
		return t.typ
	}
	switch t.kind {
	case kindWord, kindQuoted:
		return f.schema.columnType(t.text, f.toks)
	case kindNumber:
		if strings.ContainsAny(t.text, ".eE") {
			return pgtype.Float8OID
		}
		return pgtype.Int8OID
	}
	return 0
}

// resultExprs returns the expressions of the select list or of the RETURNING list, or nil if there is neither.
func resultExprs(toks []token) [][]token {
	start := -1
	depth := 0
	write, _ := classifyWrite(toks)
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

// splitList splits a list at its top-level commas. The list ends at an unmatched closing parenthesis or at a keyword that
// can follow a select list.
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

// splitAlias splits an item of a select list into its expression and its alias, which is "" if there is none.
func splitAlias(item []token) (expr []token, alias string) {
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

// columnName returns the column name that PostgreSQL gives to an expression without an alias.
func columnName(expr []token) string {
	if len(expr) == 0 {
		return "?column?"
	}
	first := expr[0]
	if first.name != "" {
		return first.name
	}
	if first.kind == kindWord && len(expr) > 1 && expr[1].is("(") && closingParenthesis(expr, 1) == len(expr)-1 {
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

// exprType returns the type of an expression, or 0 if it cannot be inferred.
func (f *typeInference) exprType(expr []token) uint32 {
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
		end := closingParenthesis(expr, 0)
		if end < 0 {
			return 0
		}
		if inner := resultExprs(expr[1:end]); expr[1].is("select") && len(inner) > 0 {
			e, _ := splitAlias(inner[0])
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
		return f.schema.columnType(expr[2].text, f.toks)
	}
	return f.schema.columnType(first.text, f.toks)
}

// operatorType returns the type of a comparison, a logical expression, a concatenation or an arithmetic expression, or 0
// if expr is none of these.
func (f *typeInference) operatorType(expr []token) uint32 {
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

func (f *typeInference) callType(expr []token) uint32 {
	end := closingParenthesis(expr, 1)
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
				return declaredTypeOID(render(args[0][i+1:]))
			}
		}
	}
	return 0
}

// resultColumns infers the names and types of the result columns from the statement alone. It returns nil if the list
// contains a "*".
func (f *typeInference) resultColumns() []column {
	var out []column
	for _, item := range resultExprs(f.toks) {
		expr, alias := splitAlias(item)
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
