package server

import (
	"strings"
)

// The kinds of token.
const (
	kindWord   = 'w'
	kindQuoted = 'q'
	kindString = 's'
	kindNumber = 'n'
	kindParam  = 'p'
	kindOp     = 'o'
)

// token is one lexical element of a statement. typ is the type OID known for it, and name the column name that
// PostgreSQL would derive from it; both may be empty.
type token struct {
	kind byte
	text string
	typ  uint32
	name string
}

// is reports whether t is the keyword or operator s, which is given in lower case.
func (t token) is(s string) bool {
	return (t.kind == kindWord || t.kind == kindOp) && strings.EqualFold(t.text, s)
}

func isWordByte(c byte) bool {
	return c == '_' || c >= 0x80 || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || isDigit(c)
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

// scan splits SQL text into tokens without white space and comments.
func scan(s string) ([]token, error) {
	var toks []token
	for i := 0; i < len(s); {
		c := s[i]
		start := i
		kind := byte(kindOp)
		switch {
		case strings.IndexByte(" \t\r\n\f", c) >= 0:
			i++
			continue
		case strings.HasPrefix(s[i:], "--"):
			if i = indexFrom(s, i, "\n"); i < 0 {
				i = len(s)
			}
			continue
		case strings.HasPrefix(s[i:], "/*"):
			end := indexFrom(s, i+2, "*/")
			if end < 0 {
				return nil, newError("42601", "unterminated comment")
			}
			i = end + 2
			continue
		case c == '\'' || c == '"':
			end := quotedEnd(s, i, c)
			if end < 0 {
				return nil, newError("42601", "unterminated quoted string at %q", s[i:])
			}
			i = end
			kind = kindString
			if c == '"' {
				kind = kindQuoted
			}
		case c == '$' && i+1 < len(s) && isDigit(s[i+1]):
			i = runEnd(s, i+1, isDigit)
			kind = kindParam
		case isDigit(c) || c == '.' && i+1 < len(s) && isDigit(s[i+1]):
			i = numberEnd(s, i)
			kind = kindNumber
		case isWordByte(c):
			i = runEnd(s, i, isWordByte)
			kind = kindWord
		default:
			i += opLen(s[i:])
		}
		toks = append(toks, token{kind: kind, text: s[start:i]})
	}
	return toks, nil
}

// runEnd returns the index of the first byte from i on that is not in the class.
func runEnd(s string, i int, class func(byte) bool) int {
	for i < len(s) && class(s[i]) {
		i++
	}
	return i
}

func indexFrom(s string, from int, sub string) int {
	n := strings.Index(s[from:], sub)
	if n < 0 {
		return n
	}
	return from + n
}

// quotedEnd returns the index after the closing quote; a doubled quote stands for the quote itself.
func quotedEnd(s string, i int, quote byte) int {
	for i++; i < len(s); i++ {
		if s[i] != quote {
			continue
		}
		if i+1 < len(s) && s[i+1] == quote {
			i++
			continue
		}
		return i + 1
	}
	return -1
}

func numberEnd(s string, i int) int {
	for ; i < len(s); i++ {
		exp := (s[i] == '+' || s[i] == '-') && (s[i-1] == 'e' || s[i-1] == 'E')
		if !isWordByte(s[i]) && s[i] != '.' && !exp {
			break
		}
		if exp && !isDigit(s[i-2]) {
			break
		}
	}
	return i
}

func opLen(s string) int {
	for _, op := range []string{"->>", "::", "<=", ">=", "<>", "!=", "||", "->"} {
		if strings.HasPrefix(s, op) {
			return len(op)
		}
	}
	return 1
}

// render joins tokens to SQL text.
func render(toks []token) string {
	var b strings.Builder
	for i, t := range toks {
		if i > 0 && !joined(toks[i-1], t) {
			b.WriteByte(' ')
		}
		b.WriteString(t.text)
	}
	return b.String()
}

// joined reports whether the two tokens are written without a space, so that sqlite names columns as usual.
func joined(a, b token) bool {
	return a.text == "(" || a.text == "." || b.text == "." || b.text == ")" || b.text == "," || b.text == "(" && a.kind == kindWord
}

// splitStatements cuts tokens at semicolons and leaves out empty statements.
func splitStatements(toks []token) [][]token {
	var out [][]token
	start := 0
	for i := 0; i <= len(toks); i++ {
		if i < len(toks) && !toks[i].is(";") {
			continue
		}
		if i > start {
			out = append(out, toks[start:i])
		}
		start = i + 1
	}
	return out
}
