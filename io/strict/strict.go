// Package strict decodes YAML files into structs and reports every error with its line, column and key path.
//
// A file must hold at most one document and no anchors, aliases, tags or merge keys, so that a small file cannot expand
// into a large one and each value stands at one position in the file.
package strict

import (
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
)

// maxFileBytes bounds the size of the data that Decode accepts. The largest known definition is below 100 KiB.
const maxFileBytes = 1 << 20

// maxNesting bounds the nesting of collections. The deepest key of a settings or service file is at depth 4. The rest
// of the range allows for brackets inside strings, which nestingBound counts as well.
const maxNesting = 200

// Problem is one error in a file, with its position.
type Problem struct {
	file    string
	line    int
	column  int
	path    string
	message string
}

// File returns the name of the file.
func (p Problem) File() string { return p.file }

// Line returns the line, counted from 1, or 0 if the error has no position in the file.
func (p Problem) Line() int { return p.line }

// Column returns the column, counted from 1, or 0 if the error has no position in the file.
func (p Problem) Column() int { return p.column }

// Path returns the key path, such as servers[0].address, or "" if the error concerns the whole file.
func (p Problem) Path() string { return p.path }

// Message returns the error text without the position and the key path.
func (p Problem) Message() string { return p.message }

// String formats the problem as file:line:column: path: message. It leaves out a position or a path that is not set.
func (p Problem) String() string {
	var b strings.Builder
	b.WriteString(p.file)
	if p.line > 0 {
		fmt.Fprintf(&b, ":%d:%d", p.line, p.column)
	}
	b.WriteString(": ")
	if p.path != "" {
		b.WriteString(p.path + ": ")
	}
	b.WriteString(p.message)
	return b.String()
}

// FormatProblems returns one line for each problem.
func FormatProblems(problems []Problem) string {
	lines := make([]string, 0, len(problems))
	for _, p := range problems {
		lines = append(lines, p.String())
	}
	return strings.Join(lines, "\n")
}

// Doc holds the positions of the values of a decoded file, by key path, and the problems found in it.
type Doc struct {
	file        string
	positions   map[string]*token.Position
	problems    []Problem
	parseFailed bool
}

// Decode reads data into out, a pointer to a struct with yaml tags. Fields whose keys are absent from data keep their
// values. The returned Doc holds every error found, and out is filled as far as possible. The parameter file names the
// file in problems.
func Decode(file string, data []byte, out any) *Doc {
	d := &Doc{file: file, positions: make(map[string]*token.Position)}
	d.parseFailed = true
	if len(data) > maxFileBytes {
		d.addProblem(nil, "", "the file has %d bytes, more than the limit of %d", len(data), maxFileBytes)
		return d
	}
	if n := nestingBound(data); n > maxNesting {
		d.addProblem(nil, "", "the file is nested %d levels deep, more than the limit of %d", n, maxNesting)
		return d
	}
	f, err := parser.ParseBytes(data, 0)
	if err != nil {
		d.addSyntaxError(err)
		return d
	}
	d.parseFailed = false
	var bodies []ast.Node
	for _, doc := range f.Docs {
		if doc.Body != nil && doc.Body.Type() != ast.CommentGroupType {
			bodies = append(bodies, doc.Body)
		}
	}
	switch len(bodies) {
	case 0:
		return d
	case 1:
		d.decodeValue(bodies[0], reflect.ValueOf(out).Elem(), "")
	default:
		d.addProblem(position(bodies[1]), "", "the file has %d documents instead of one", len(bodies))
	}
	d.sortProblems()
	return d
}

// ParseFailed reports whether the file was too large, nested too deeply or not valid YAML. Then nothing was decoded, and no
// problem belongs to a single value.
func (d *Doc) ParseFailed() bool { return d.parseFailed }

// Problems returns a copy of the problems, sorted by line and column.
func (d *Doc) Problems() []Problem { return slices.Clone(d.problems) }

// Add records a problem with the value at path.
func (d *Doc) Add(path, message string) {
	d.problems = append(d.problems, d.ProblemAt(path, message))
	d.sortProblems()
}

// ProblemAt returns a problem with the value at path without recording it. If the file lacks the value, the problem has
// the position of the nearest key above it.
func (d *Doc) ProblemAt(path, message string) Problem {
	ancestor := path
	for ancestor != "" && d.positions[ancestor] == nil {
		ancestor = ancestor[:max(strings.LastIndexAny(ancestor, ".["), 0)]
	}
	p := Problem{file: d.file, line: 1, column: 1, path: path, message: message} // 1:1 in an empty file
	if pos := d.positions[ancestor]; pos != nil {
		p.line, p.column = pos.Line, pos.Column
	}
	return p
}

// Has reports whether the file has a value at path.
func (d *Doc) Has(path string) bool { return d.positions[path] != nil }

// HasProblem reports whether a problem with the value at path is recorded.
func (d *Doc) HasProblem(path string) bool {
	return slices.ContainsFunc(d.problems, func(p Problem) bool { return p.path == path })
}

func (d *Doc) sortProblems() {
	slices.SortStableFunc(d.problems, func(a, b Problem) int {
		if a.line != b.line {
			return a.line - b.line
		}
		return a.column - b.column
	})
}

// addProblem records a problem at pos, or without a position if pos is nil. The caller sorts the problems.
func (d *Doc) addProblem(pos *token.Position, path, format string, args ...any) {
	p := Problem{file: d.file, path: path, message: fmt.Sprintf(format, args...)}
	if pos != nil {
		p.line, p.column = pos.Line, pos.Column
	}
	d.problems = append(d.problems, p)
}

// addSyntaxError records a parser error, with its position if the error has one.
func (d *Doc) addSyntaxError(err error) {
	var ye yaml.Error
	if errors.As(err, &ye) {
		var pos *token.Position
		if t := ye.GetToken(); t != nil {
			pos = t.Position
		}
		d.addProblem(pos, "", "%s", ye.GetMessage())
		return
	}
	d.addProblem(nil, "", "%s", err)
}

var durationType = reflect.TypeFor[time.Duration]()

// decodeValue decodes n into v, and records the position of n under path if none is recorded. A null leaves v unchanged.
func (d *Doc) decodeValue(n ast.Node, v reflect.Value, path string) {
	if _, ok := d.positions[path]; !ok {
		d.positions[path] = position(n)
	}
	switch n := n.(type) {
	case nil, *ast.NullNode:
		return
	case *ast.AnchorNode, *ast.AliasNode, *ast.TagNode, *ast.MergeKeyNode:
		d.addProblem(position(n), path, "anchors, aliases, tags and merge keys are not supported")
		return
	}
	switch {
	case v.Type() == durationType:
		d.decodeDuration(n, v, path)
	case v.Kind() == reflect.Struct:
		d.decodeMapping(n, path, func(key string, keyNode ast.Node, valueNode ast.Node) {
			d.decodeField(key, keyNode, valueNode, v, path)
		})
	case v.Kind() == reflect.Map:
		v.Set(reflect.MakeMap(v.Type()))
		d.decodeMapping(n, path, func(key string, _ ast.Node, valueNode ast.Node) {
			e := reflect.New(v.Type().Elem()).Elem()
			d.decodeValue(valueNode, e, joinPath(path, key))
			v.SetMapIndex(reflect.ValueOf(key).Convert(v.Type().Key()), e)
		})
	case v.Kind() == reflect.Slice:
		d.decodeSequence(n, v, path)
	default:
		d.decodeScalar(n, v, path)
	}
}

// decodeMapping calls decodeEntry for each entry of the mapping n, and adds a problem if n is not a mapping.
func (d *Doc) decodeMapping(n ast.Node, path string, decodeEntry func(key string, keyNode, valueNode ast.Node)) {
	var values []*ast.MappingValueNode
	switch n := n.(type) {
	case *ast.MappingNode:
		values = n.Values
	case *ast.MappingValueNode:
		values = []*ast.MappingValueNode{n}
	default:
		d.addProblem(position(n), path, "must be a mapping, not %s", n.Type().YAMLName())
		return
	}
	seen := make(map[string]bool)
	for _, mv := range values {
		keyNode, ok := mv.Key.(ast.ScalarNode)
		if !ok || mv.Key.IsMergeKey() {
			d.addProblem(position(mv.Key), path, "keys must be plain words")
			continue
		}
		key := fmt.Sprint(keyNode.GetValue())
		if seen[key] {
			d.addProblem(position(mv.Key), joinPath(path, key), "the key occurs more than once")
			continue
		}
		seen[key] = true
		d.positions[joinPath(path, key)] = position(mv.Key)
		decodeEntry(key, mv.Key, mv.Value)
	}
}

func (d *Doc) decodeField(key string, keyNode, valueNode ast.Node, v reflect.Value, path string) {
	var known []string
	for i := range v.NumField() {
		name := FieldKey(v.Type().Field(i))
		if name == key {
			d.decodeValue(valueNode, v.Field(i), joinPath(path, key))
			return
		}
		if name != "" {
			known = append(known, name)
		}
	}
	slices.Sort(known)
	d.addProblem(position(keyNode), joinPath(path, key), "unknown key; known keys here are %s", strings.Join(known, ", "))
}

func (d *Doc) decodeSequence(n ast.Node, v reflect.Value, path string) {
	seq, ok := n.(*ast.SequenceNode)
	if !ok {
		d.addProblem(position(n), path, "must be a list, not %s", n.Type().YAMLName())
		return
	}
	list := reflect.MakeSlice(v.Type(), len(seq.Values), len(seq.Values))
	for i, e := range seq.Values {
		d.decodeValue(e, list.Index(i), path+"["+strconv.Itoa(i)+"]")
	}
	v.Set(list)
}

func (d *Doc) decodeDuration(n ast.Node, v reflect.Value, path string) {
	s, ok := n.(*ast.StringNode)
	if !ok {
		d.addProblem(position(n), path, "must be a duration with a unit, such as 100ms or 5m")
		return
	}
	dur, err := time.ParseDuration(s.Value)
	if err != nil {
		d.addProblem(position(n), path, "%q is not a duration with a unit, such as 100ms or 5m", s.Value)
		return
	}
	v.SetInt(int64(dur))
}

func (d *Doc) decodeScalar(n ast.Node, v reflect.Value, path string) {
	switch v.Kind() {
	case reflect.String:
		switch n := n.(type) {
		case *ast.StringNode:
			v.SetString(n.Value)
		case *ast.LiteralNode:
			v.SetString(n.Value.Value)
		default:
			d.addProblem(position(n), path, "must be a string; put it in quotes")
		}
	case reflect.Bool:
		if b, ok := n.(*ast.BoolNode); ok {
			v.SetBool(b.Value)
			return
		}
		d.addProblem(position(n), path, "must be true or false")
	case reflect.Int, reflect.Int64:
		if i, ok := n.(*ast.IntegerNode); ok {
			if x, err := strconv.ParseInt(fmt.Sprint(i.Value), 10, 64); err == nil && !v.OverflowInt(x) {
				v.SetInt(x)
				return
			}
		}
		d.addProblem(position(n), path, "must be a whole number")
	case reflect.Float64:
		switch n := n.(type) {
		case *ast.FloatNode:
			v.SetFloat(n.Value)
			return
		case *ast.IntegerNode:
			if x, err := strconv.ParseFloat(fmt.Sprint(n.Value), 64); err == nil {
				v.SetFloat(x)
				return
			}
		}
		d.addProblem(position(n), path, "must be a number")
	default:
		d.addProblem(position(n), path, "decoding into the Go type %s is not supported", v.Type())
	}
}

// FieldKey returns the YAML key of a struct field, or "" if the field has none.
func FieldKey(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
	if name == "-" {
		return ""
	}
	return name
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// position returns the position of the first key of a block mapping, or of the token of any other node. It returns nil
// if there is no node or token.
func position(n ast.Node) *token.Position {
	if n == nil || reflect.ValueOf(n).IsNil() {
		return nil
	}
	switch n := n.(type) {
	case *ast.MappingValueNode:
		return position(n.Key)
	case *ast.MappingNode:
		if !n.IsFlowStyle && len(n.Values) > 0 {
			return position(n.Values[0])
		}
	}
	if t := n.GetToken(); t != nil {
		return t.Position
	}
	return nil
}

// nestingBound returns an upper bound of the nesting depth of data: the indentation and list markers of a line plus the
// brackets that are open. The parser recurses once per level, so a file of opening brackets would exhaust the stack before
// the parser returned.
func nestingBound(data []byte) int {
	deepest := 0
	openBrackets := 0
	for line := range strings.Lines(string(data)) {
		trimmed := strings.TrimLeft(line, " ")
		blockLevels := (len(line) - len(trimmed)) / 2
		for strings.HasPrefix(trimmed, "- ") || strings.HasPrefix(trimmed, "? ") {
			trimmed = strings.TrimLeft(trimmed[2:], " ")
			blockLevels++
		}
		for _, c := range trimmed {
			switch c {
			case '[', '{':
				openBrackets++
			case ']', '}':
				openBrackets = max(openBrackets-1, 0)
			}
			deepest = max(deepest, openBrackets+blockLevels)
		}
		deepest = max(deepest, openBrackets+blockLevels)
	}
	return deepest
}
