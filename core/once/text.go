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

// token is one lexical element of a statement. The text of a word is in lower case; that of a string or a quoted name
// omits the quotes; that of a parameter is its number.
type token struct {
	kind tokenKind
	text string
}

// tokenise splits a statement into tokens and drops semicolons at the end. It returns an error for comments and for the
// forms of strings that it does not decode (E, B, X, U& and dollar quotes).
func tokenise(text string) ([]token, error) {
	var list []token
	for i := 0; i < len(text); {
		c := text[i]
		switch {
		case strings.IndexByte(" \t\r\n\f\v", c) >= 0:
			i++
		case strings.HasPrefix(text[i:], "--"), strings.HasPrefix(text[i:], "/*"):
			return nil, errors.New("the statement contains a comment, which is not supported")
		case c == '\'', c == '"':
			s, n, err := readQuoted(text[i:])
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
			n := 1 + prefixLen(text[i+1:], isDigit)
			if n == 1 {
				return nil, errors.New("the statement contains a dollar-quoted string, which is not supported")
			}
			list = append(list, token{tokenParam, text[i+1 : i+n]})
			i += n
		case isDigit(c), c == '.' && i+1 < len(text) && isDigit(text[i+1]):
			n := numberLen(text[i:])
			list = append(list, token{tokenNumber, text[i : i+n]})
			i += n
		case isWord(c):
			n := prefixLen(text[i:], func(c byte) bool { return isWord(c) || isDigit(c) || c == '$' })
			word := strings.ToLower(text[i : i+n])
			i += n
			if i < len(text) && (text[i] == '\'' || (word == "u" && text[i] == '&')) {
				return nil, fmt.Errorf("the statement contains a string with prefix %q, which is not supported", word)
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

// readQuoted reads the quoted string or name at the start of text, in which doubled quotes stand for one. It returns the
// unquoted content and the number of bytes read.
func readQuoted(text string) (content string, n int, err error) {
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
	return "", 0, errors.New("the statement contains a quoted string or name without a closing quote")
}

func prefixLen(text string, in func(byte) bool) int {
	n := 0
	for n < len(text) && in(text[n]) {
		n++
	}
	return n
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

func isWord(c byte) bool { return c == '_' || c|0x20 >= 'a' && c|0x20 <= 'z' || c >= 0x80 }

func numberLen(text string) int {
	n := prefixLen(text, isDigit)
	if n < len(text) && text[n] == '.' {
		n += 1 + prefixLen(text[n+1:], isDigit)
	}
	if n < len(text) && text[n]|0x20 == 'e' {
		m := n + 1
		if m < len(text) && (text[m] == '-' || text[m] == '+') {
			m++
		}
		if d := prefixLen(text[m:], isDigit); d > 0 {
			n = m + d
		}
	}
	return n
}

// match compares text with the declared statement and returns the constants in place of its parameters, by parameter
// number. The value of null is nil.
func (r rule) match(text string) (map[string][]byte, error) {
	remaining, err := tokenise(text)
	if err != nil {
		return nil, err
	}
	values := map[string][]byte{}
	for _, want := range r.pattern {
		if want.kind != tokenParam {
			if len(remaining) == 0 || remaining[0] != want {
				return nil, fmt.Errorf("the text differs from the declared statement, which has %q at this place", want.text)
			}
			remaining = remaining[1:]
			continue
		}
		v, n := readConstant(remaining)
		if n == 0 {
			return nil, fmt.Errorf("the value of parameter $%s is not a plain constant", want.text)
		}
		if old, ok := values[want.text]; ok && !bytes.Equal(old, v) {
			return nil, fmt.Errorf("parameter $%s occurs with two different values", want.text)
		}
		values[want.text] = v
		remaining = remaining[n:]
	}
	if len(remaining) > 0 {
		return nil, fmt.Errorf("the text continues with %q after the end of the declared statement", remaining[0].text)
	}
	return values, nil
}

// readConstant returns the value of the constant at the start of list (nil for null) and the number of tokens read. The
// number is 0 if the list does not start with a constant.
func readConstant(list []token) (value []byte, n int) {
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
