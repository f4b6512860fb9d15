package server

import (
	"strings"
)

// Values of token.kind.
const (
	kindWord   = 'w'
	kindQuoted = 'q'
	kindString = 's'
	kindNumber = 'n'
	kindParam  = 'p'
	kindOp     = 'o'
)

// token is one lexical element of a statement. typ is its type OID, or 0 if unknown. name is the column name that
// PostgreSQL derives from it, or "" if unknown.
type token struct {
	kind byte
	text string
	typ  uint32
	name string
}

// is reports whether t is the keyword or operator s. Case is ignored.
func (t token) is(s string) bool {
	return (t.kind == kindWord || t.kind == kindOp) && strings.EqualFold(t.text, s)
}

func isWordByte(c byte) bool {
	return c == '_' || c >= 0x80 || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || isDigit(c)
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

// scan splits SQL text into tokens. It drops white space and comments.
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
			i = byteClassEnd(s, i+1, isDigit)
			kind = kindParam
		case isDigit(c) || c == '.' && i+1 < len(s) && isDigit(s[i+1]):
			i = numberEnd(s, i)
			kind = kindNumber
		case isWordByte(c):
			i = byteClassEnd(s, i, isWordByte)
			kind = kindWord
		default:
			i += opLen(s[i:])
		}
		toks = append(toks, token{kind: kind, text: s[start:i]})
	}
	return toks, nil
}

// byteClassEnd returns the index of the first byte at or after i for which inClass returns false.
func byteClassEnd(s string, i int, inClass func(byte) bool) int {
	for i < len(s) && inClass(s[i]) {
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

// quotedEnd returns the index after the closing quote, or -1 if there is none. A doubled quote is an escaped quote.
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

// render joins tokens into SQL text.
func render(toks []token) string {
	var b strings.Builder
	for i, t := range toks {
		if i > 0 && !writtenWithoutSpace(toks[i-1], t) {
			b.WriteByte(' ')
		}
		b.WriteString(t.text)
	}
	return b.String()
}

// writtenWithoutSpace reports whether render puts no space between the two tokens. sqlite derives column names from the
// text, so extra spaces would show up in them.
func writtenWithoutSpace(a, b token) bool {
	return a.text == "(" || a.text == "." || b.text == "." || b.text == ")" || b.text == "," || b.text == "(" && a.kind == kindWord
}

// splitStatements splits tokens into statements at semicolons. It drops empty statements.
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
