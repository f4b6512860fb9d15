package server

import (
	"crypto/rand"
	"fmt"
	"math/big"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgtype"
)

// env holds the session values and the time from which functions are evaluated, and the statement's parameters.
type env struct {
	pid    uint32
	now    time.Time
	user   string
	params []any
}

// translated is a statement that has been translated to sqlite's dialect.
type translated struct {
	toks         []token
	paramNumbers []int // parameter number of each placeholder, starting at 1
	sleep        time.Duration
	// sleepParam is the number of the parameter that was passed to pg_sleep, or 0. The translated text no longer contains
	// that parameter.
	sleepParam int
}

// sql returns the SQL text with "?" in place of each parameter.
func (t translated) sql() string {
	toks := make([]token, len(t.toks))
	copy(toks, t.toks)
	for i := range toks {
		if toks[i].kind == kindParam {
			toks[i].text = "?"
		}
	}
	return render(toks)
}

// args returns the parameter values in the order of the placeholders.
func (t translated) args(params []any) ([]any, error) {
	out := make([]any, len(t.paramNumbers))
	for i, n := range t.paramNumbers {
		if n < 1 || n > len(params) {
			return nil, newError("42P02", "there is no parameter $%d", n)
		}
		out[i] = params[n-1]
	}
	return out, nil
}

// translate rewrites a statement to sqlite's dialect. It replaces calls of volatile functions by constants, so that every
// server of the group computes the same result when it applies the log.
func translate(in []token, e env) (translated, error) {
	var t translated
	ddl := in[0].is("create") || in[0].is("alter")
	for i := 0; i < len(in); i++ {
		tok := in[i]
		isCall := tok.kind == kindWord && i+1 < len(in) && in[i+1].is("(")
		switch {
		case tok.is("::"):
			n, err := t.cast(in[i+1:])
			if err != nil {
				return t, err
			}
			i += n
		case isCall && tok.is("pg_sleep"):
			end := closingParenthesis(in, i+1)
			if end < 0 {
				return t, newError("42601", "syntax error: missing closing parenthesis of pg_sleep")
			}
			d, err := sleepDuration(in[i+2:end], e.params)
			if err != nil {
				return t, err
			}
			t.sleep += d
			if arg := in[i+2]; arg.kind == kindParam {
				t.sleepParam, _ = strconv.Atoi(arg.text[1:])
			}
			t.toks = append(t.toks, token{kind: kindString, text: "''", typ: pgtype.TextOID, name: "pg_sleep"})
			i = end
		case isCall && i+2 < len(in) && in[i+2].is(")"):
			c, ok := functionConstant(strings.ToLower(tok.text), e)
			if !ok {
				t.toks = append(t.toks, tok)
				continue
			}
			if ddl {
				return t, newError("0A000", "the default %s() is not supported: the servers of a group would store different values", tok.text)
			}
			i += 2
			if c.typ == pgtype.TimestamptzOID {
				i += addInterval(&c, e.now, in[i+1:])
			}
			t.toks = append(t.toks, c)
		case tok.is("current_timestamp") || tok.is("localtimestamp"):
			if ddl {
				return t, newError("0A000", "the default %s is not supported: the servers of a group would store different values", tok.text)
			}
			c, _ := functionConstant("now", e)
			i += addInterval(&c, e.now, in[i+1:])
			t.toks = append(t.toks, c)
		case tok.is("current_date"):
			t.toks = append(t.toks, token{kind: kindString, text: quoteLiteral(e.now.UTC().Format(time.DateOnly)), typ: pgtype.DateOID, name: "current_date"})
		case tok.is("ilike"):
			tok.text = "LIKE"
			t.toks = append(t.toks, tok)
		case ddl && (tok.is("serial") || tok.is("bigserial")) && i+2 < len(in) && in[i+1].is("primary"):
			t.toks = append(t.toks, token{kind: kindWord, text: "INTEGER"}, in[i+1], in[i+2], token{kind: kindWord, text: "AUTOINCREMENT"})
			i += 2
		default:
			t.toks = append(t.toks, tok)
		}
	}
	t.toks = withoutLockingClause(t.toks)
	if t.toks[0].is("truncate") {
		t.toks = truncateAsDelete(t.toks)
	}
	for _, tok := range t.toks {
		if tok.kind == kindParam {
			n, _ := strconv.Atoi(tok.text[1:])
			t.paramNumbers = append(t.paramNumbers, n)
		}
	}
	return t, nil
}

func truncateAsDelete(toks []token) []token {
	rest := toks[1:]
	if len(rest) > 0 && rest[0].is("table") {
		rest = rest[1:]
	}
	return append([]token{{kind: kindWord, text: "DELETE"}, {kind: kindWord, text: "FROM"}}, rest...)
}

// lockingClause returns the index of the FOR of a row-locking clause such as FOR UPDATE or FOR SHARE, or -1.
func lockingClause(toks []token) int {
	if !toks[0].is("select") && !toks[0].is("with") {
		return -1
	}
	for i := len(toks) - 2; i > 0; i-- {
		if toks[i].is("for") && (toks[i+1].is("update") || toks[i+1].is("share") || toks[i+1].is("no") || toks[i+1].is("key")) {
			return i
		}
	}
	return -1
}

func withoutLockingClause(toks []token) []token {
	if i := lockingClause(toks); i >= 0 {
		return toks[:i]
	}
	return toks
}

// closingParenthesis returns the index of the parenthesis that matches the opening one at i, or -1.
func closingParenthesis(toks []token, i int) int {
	depth := 0
	for ; i < len(toks); i++ {
		if toks[i].is("(") {
			depth++
		}
		if toks[i].is(")") {
			if depth--; depth == 0 {
				return i
			}
		}
	}
	return -1
}

// cast applies a "::type" cast to the last operand of the translated tokens. rest starts after the "::". It returns the
// number of tokens that the type name takes.
func (t *translated) cast(rest []token) (int, error) {
	if len(rest) == 0 || rest[0].kind != kindWord {
		return 0, newError("42601", "syntax error: a type name must follow ::")
	}
	n := 1
	name := rest[0].text
	if len(rest) > 1 && (rest[1].is("precision") || rest[1].is("varying")) {
		name += " " + rest[1].text
		n++
	}
	if len(rest) > 3 && rest[1].is("with") && rest[2].is("time") {
		name = "timestamptz"
		n += 3
	}
	if len(rest) > n && rest[n].is("(") {
		n = closingParenthesis(rest, n) + 1
	}
	oid := declaredTypeOID(name)
	start := operandStart(t.toks)
	if oid == 0 || start < 0 {
		return 0, newError("42704", "cast to type %q is not supported", name)
	}
	operand := append([]token{}, t.toks[start:]...)
	castName := sqliteCastType(oid)
	if castName == "" || operand[0].kind == kindParam {
		// Bind has already decoded parameters to their type.
		operand[0].typ = oid
		if oid == pgtype.BoolOID && operand[0].kind == kindString {
			operand[0] = booleanToken(operand[0])
		}
		t.toks = append(t.toks[:start], operand...)
		return n, nil
	}
	t.toks = append(t.toks[:start], token{kind: kindWord, text: "CAST", typ: oid, name: columnName(operand)}, token{kind: kindOp, text: "("})
	t.toks = append(t.toks, operand...)
	t.toks = append(t.toks, token{kind: kindWord, text: "AS"}, token{kind: kindWord, text: castName}, token{kind: kindOp, text: ")"})
	return n, nil
}

func booleanToken(t token) token {
	out := token{kind: kindWord, text: "false", typ: t.typ}
	switch strings.ToLower(strings.Trim(t.text, "'")) {
	case "t", "true", "1", "yes", "on":
		out.text = "true"
	}
	return out
}

// operandStart returns the index of the first token of the last operand in toks, or -1.
func operandStart(toks []token) int {
	i := len(toks) - 1
	if i < 0 {
		return -1
	}
	if toks[i].is(")") {
		depth := 0
		for ; i >= 0; i-- {
			if toks[i].is(")") {
				depth++
			}
			if toks[i].is("(") {
				if depth--; depth == 0 {
					break
				}
			}
		}
		if i > 0 && toks[i-1].kind == kindWord && !isKeyword(toks[i-1]) {
			i--
		}
		return i
	}
	for i > 1 && toks[i-1].is(".") {
		i -= 2
	}
	return i
}

func isKeyword(t token) bool {
	switch strings.ToLower(t.text) {
	case "select", "where", "and", "or", "not", "in", "values", "from", "on", "then", "else", "when", "set", "returning", "as", "by", "between":
		return true
	}
	return false
}

func quoteLiteral(s string) string { return "'" + strings.ReplaceAll(s, "'", "''") + "'" }

// functionConstant evaluates a function without arguments that is volatile or that sqlite lacks. It returns false for all
// other functions.
func functionConstant(name string, e env) (token, bool) {
	text := func(s string, oid uint32) (token, bool) {
		return token{kind: kindString, text: quoteLiteral(s), typ: oid, name: name}, true
	}
	switch name {
	case "now", "statement_timestamp", "clock_timestamp", "transaction_timestamp":
		return text(e.now.UTC().Format(timeFormat), pgtype.TimestamptzOID)
	case "pg_backend_pid":
		return token{kind: kindNumber, text: strconv.FormatUint(uint64(e.pid), 10), typ: pgtype.Int4OID, name: name}, true
	case "random":
		n, _ := rand.Int(rand.Reader, big.NewInt(1<<53))
		f := float64(n.Int64()) / (1 << 53)
		return token{kind: kindNumber, text: strconv.FormatFloat(f, 'e', -1, 64), typ: pgtype.Float8OID, name: name}, true
	case "gen_random_uuid":
		b := make([]byte, 16)
		_, _ = rand.Read(b)
		b[6], b[8] = b[6]&0x0f|0x40, b[8]&0x3f|0x80
		return text(fmt.Sprintf("%x-%x-%x-%x-%x", b[:4], b[4:6], b[6:8], b[8:10], b[10:]), pgtype.UUIDOID)
	case "version":
		return text("PostgreSQL "+serverVersion+" (verbenalab)", pgtype.TextOID)
	case "current_database":
		return text("verbenalab", pgtype.NameOID)
	case "current_schema":
		return text("public", pgtype.NameOID)
	}
	return token{}, false
}

// intervalUnits lists the units of interval constants that have a fixed length, in the singular.
var intervalUnits = map[string]time.Duration{
	"millisecond": time.Millisecond, "second": time.Second, "sec": time.Second, "minute": time.Minute, "min": time.Minute,
	"hour": time.Hour, "day": 24 * time.Hour, "week": 7 * 24 * time.Hour,
}

// addInterval adds the interval constant at the start of rest to the time now, or subtracts it, and stores the result in
// c. It returns the number of tokens consumed, which is 0 if rest does not start with an interval constant.
func addInterval(c *token, now time.Time, rest []token) int {
	if len(rest) < 3 || !rest[0].is("-") && !rest[0].is("+") || !rest[1].is("interval") || rest[2].kind != kindString {
		return 0
	}
	var d time.Duration
	fields := strings.Fields(strings.Trim(rest[2].text, "'"))
	for i := 0; i+1 < len(fields); i += 2 {
		n, err := strconv.ParseFloat(fields[i], 64)
		unit, ok := intervalUnits[strings.TrimSuffix(strings.ToLower(fields[i+1]), "s")]
		if err != nil || !ok {
			return 0
		}
		d += time.Duration(n * float64(unit))
	}
	if rest[0].is("-") {
		d = -d
	}
	c.text, c.name = quoteLiteral(now.Add(d).UTC().Format(timeFormat)), ""
	return 3
}

// sleepDuration returns the argument of pg_sleep. It returns 0 for a parameter if params is nil, which means that the
// statement is described but not executed.
func sleepDuration(arg []token, params []any) (time.Duration, error) {
	for len(arg) > 1 && arg[1].is("::") {
		arg = arg[:1]
	}
	if len(arg) != 1 {
		return 0, newError("0A000", "the argument of pg_sleep must be a number or a parameter")
	}
	s := strings.Trim(arg[0].text, "'")
	if arg[0].kind == kindParam {
		n, _ := strconv.Atoi(s[1:])
		if params == nil {
			return 0, nil
		}
		if n < 1 || n > len(params) {
			return 0, newError("42P02", "there is no parameter %s", s)
		}
		s = valueText(params[n-1])
	}
	f, err := strconv.ParseFloat(s, 64)
	if err != nil {
		return 0, newError("22P02", "invalid number of seconds %q", s)
	}
	return time.Duration(f * float64(time.Second)), nil
}

// classifyWrite reports whether the statement changes the database (write) and whether it changes the schema (ddl).
func classifyWrite(toks []token) (write, ddl bool) {
	switch strings.ToLower(toks[0].text) {
	case "insert", "update", "delete", "replace", "truncate":
		return true, false
	case "create", "drop", "alter":
		return true, true
	case "with":
		for i, t := range toks {
			locking := i > 0 && toks[i-1].is("for")
			if (t.is("insert") || t.is("update") || t.is("delete")) && !locking {
				return true, false
			}
		}
	}
	return false, false
}

// commandTag returns the command tag for CommandComplete; n is the number of affected or returned rows.
func commandTag(toks []token, n int64) string {
	verb := strings.ToUpper(toks[0].text)
	switch verb {
	case "INSERT":
		return fmt.Sprintf("INSERT 0 %d", n)
	case "UPDATE", "DELETE":
		return fmt.Sprintf("%s %d", verb, n)
	case "CREATE", "DROP", "ALTER":
		for _, t := range toks[1:] {
			for _, object := range []string{"table", "index", "view"} {
				if t.is(object) {
					return verb + " " + strings.ToUpper(object)
				}
			}
		}
		return verb
	case "TRUNCATE":
		return "TRUNCATE TABLE"
	case "WITH":
		if w, _ := classifyWrite(toks); w {
			return fmt.Sprintf("UPDATE %d", n)
		}
	}
	return fmt.Sprintf("SELECT %d", n)
}
