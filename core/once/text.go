package once

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
)

type tokenKind uint8

const (
	tokenWord tokenKind = iota
	tokenQuoted
	tokenString
	tokenNumber
	tokenParam
	tokenOther
)

// token is one lexical element of a statement. A word is in lower case; a string is without its quotes.
type token struct {
	kind tokenKind
	text string
}

// tokens cuts a statement into its lexical elements. It refuses the forms of strings that it does not decode (E, B, X,
// U& and dollar quotes) and comments.
func tokens(text string) ([]token, error) {
	var list []token
	for i := 0; i < len(text); {
		c := text[i]
		switch {
		case strings.IndexByte(" \t\r\n\f\v", c) >= 0:
			i++
		case strings.HasPrefix(text[i:], "--"), strings.HasPrefix(text[i:], "/*"):
			return nil, errors.New("the statement has a comment")
		case c == '\'', c == '"':
			s, n, err := quoted(text[i:])
			if err != nil {
				return nil, err
			}
			kind := tokenString
			if c == '"' {
				kind = tokenQuoted
			}
			list = append(list, token{kind, s})
			i += n
		case c == '$':
			n := 1 + span(text[i+1:], isDigit)
			if n == 1 {
				return nil, errors.New("the statement has a dollar-quoted string")
			}
			list = append(list, token{tokenParam, text[i+1 : i+n]})
			i += n
		case isDigit(c), c == '.' && i+1 < len(text) && isDigit(text[i+1]):
			n := numberLen(text[i:])
			list = append(list, token{tokenNumber, text[i : i+n]})
			i += n
		case isWord(c):
			n := span(text[i:], func(c byte) bool { return isWord(c) || isDigit(c) || c == '$' })
			word := strings.ToLower(text[i : i+n])
			i += n
			if i < len(text) && (text[i] == '\'' || (word == "u" && text[i] == '&')) {
				return nil, fmt.Errorf("the statement has a string with prefix %q", word)
			}
			list = append(list, token{tokenWord, word})
		default:
			list = append(list, token{tokenOther, text[i : i+1]})
			i++
		}
	}
	for len(list) > 0 && list[len(list)-1] == (token{tokenOther, ";"}) {
		list = list[:len(list)-1]
	}
	return list, nil
}

// quoted reads a string or name with doubled quotes inside, and returns its content and its length in the text.
func quoted(text string) (content string, n int, err error) {
	q := text[:1]
	for i := 1; i < len(text); i++ {
		if text[i] != q[0] {
			continue
		}
		if i+1 < len(text) && text[i+1] == q[0] {
			i++
			continue
		}
		return strings.ReplaceAll(text[1:i], q+q, q), i + 1, nil
	}
	return "", 0, errors.New("a quote is not closed")
}

func span(text string, in func(byte) bool) int {
	n := 0
	for n < len(text) && in(text[n]) {
		n++
	}
	return n
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

func isWord(c byte) bool { return c == '_' || c|0x20 >= 'a' && c|0x20 <= 'z' || c >= 0x80 }

func numberLen(text string) int {
	n := span(text, isDigit)
	if n < len(text) && text[n] == '.' {
		n += 1 + span(text[n+1:], isDigit)
	}
	if n < len(text) && text[n]|0x20 == 'e' {
		m := n + 1
		if m < len(text) && (text[m] == '-' || text[m] == '+') {
			m++
		}
		if d := span(text[m:], isDigit); d > 0 {
			n = m + d
		}
	}
	return n
}

// match compares a text with the declared statement, and returns the constants that stand for its parameters.
func (r rule) match(text string) (map[string][]byte, error) {
	actual, err := tokens(text)
	if err != nil {
		return nil, err
	}
	values := map[string][]byte{}
	for _, want := range r.pattern {
		if want.kind != tokenParam {
			if len(actual) == 0 || actual[0] != want {
				return nil, fmt.Errorf("the text differs from the declared statement at %q", want.text)
			}
			actual = actual[1:]
			continue
		}
		v, n := constant(actual)
		if n == 0 {
			return nil, fmt.Errorf("parameter $%s is not a plain constant", want.text)
		}
		if old, ok := values[want.text]; ok && !bytes.Equal(old, v) {
			return nil, fmt.Errorf("parameter $%s has two values", want.text)
		}
		values[want.text] = v
		actual = actual[n:]
	}
	if len(actual) > 0 {
		return nil, fmt.Errorf("the text goes on after the declared statement with %q", actual[0].text)
	}
	return values, nil
}

// constant returns the value of the constant at the start of a list, nil for null, and its length in tokens.
func constant(list []token) (value []byte, n int) {
	if len(list) == 0 {
		return nil, 0
	}
	switch first := list[0]; first.kind {
	case tokenString, tokenNumber:
		return []byte(first.text), 1
	case tokenWord:
		switch first.text {
		case "null":
			return nil, 1
		case "true", "false":
			return []byte(first.text), 1
		}
	case tokenOther:
		if first.text == "-" && len(list) > 1 && list[1].kind == tokenNumber {
			return []byte("-" + list[1].text), 2
		}
	}
	return nil, 0
}
