// Package strict decodes YAML files into structs and reports every error with its line, column and key path.
//
// It accepts one document without anchors, aliases, tags and merge keys, so that a small file cannot expand into a large
// one and each value has one place in the file.
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

// maxFileSize bounds the files that Decode reads; the largest known definition is below 100 KiB.
const maxFileSize = 1 << 20

// maxDepth bounds the nesting of collections. The deepest key of a settings or service file is at depth 4; the rest
// leaves room for brackets inside texts, which depth counts as well.
const maxDepth = 200

// Problem is one error in a file.
type Problem struct {
	file    string
	line    int
	column  int
	path    string
	message string
}

// File returns the name of the file.
func (p Problem) File() string { return p.file }

// Line returns the line, counted from 1; 0 if the error has no place in the file.
func (p Problem) Line() int { return p.line }

// Column returns the column, counted from 1.
func (p Problem) Column() int { return p.column }

// Path returns the key path, such as servers[0].address.
func (p Problem) Path() string { return p.path }

// Message returns what is wrong.
func (p Problem) Message() string { return p.message }

// String formats the problem as file:line:column: path: message.
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

// Text returns one line for each problem.
func Text(problems []Problem) string {
	lines := make([]string, 0, len(problems))
	for _, p := range problems {
		lines = append(lines, p.String())
	}
	return strings.Join(lines, "\n")
}

// Doc is a decoded file with the places of its values.
type Doc struct {
	file     string
	places   map[string]*token.Position
	problems []Problem
	broken   bool
}

// Decode reads data into out, a pointer to a struct with yaml tags. Values that the file lacks keep their value in out.
// The Doc holds every error found; out is filled as far as possible.
func Decode(file string, data []byte, out any) *Doc {
	d := &Doc{file: file, places: make(map[string]*token.Position)}
	d.broken = true
	if len(data) > maxFileSize {
		d.add(nil, "", "the file has %d bytes, more than the limit of %d", len(data), maxFileSize)
		return d
	}
	if n := depth(data); n > maxDepth {
		d.add(nil, "", "the file is nested %d levels deep, more than the limit of %d", n, maxDepth)
		return d
	}
	f, err := parser.ParseBytes(data, 0)
	if err != nil {
		d.syntax(err)
		return d
	}
	d.broken = false
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
		d.value(bodies[0], reflect.ValueOf(out).Elem(), "")
	default:
		d.add(position(bodies[1]), "", "the file has %d documents instead of one", len(bodies))
	}
	d.sort()
	return d
}

// Broken reports whether the file could not be parsed, so that its problems say nothing about single values.
func (d *Doc) Broken() bool { return d.broken }

// Problems returns the errors in the order of the lines.
func (d *Doc) Problems() []Problem { return slices.Clone(d.problems) }

// Add records a problem of the value at path.
func (d *Doc) Add(path, message string) {
	d.problems = append(d.problems, d.Problem(path, message))
	d.sort()
}

// Problem returns a problem of the value at path without recording it. If the file lacks the value, the place is that of
// the nearest key above.
func (d *Doc) Problem(path, message string) Problem {
	at := path
	for at != "" && d.places[at] == nil {
		at = at[:max(strings.LastIndexAny(at, ".["), 0)]
	}
	p := Problem{file: d.file, line: 1, column: 1, path: path, message: message} // line 1 of an empty file
	if pos := d.places[at]; pos != nil {
		p.line, p.column = pos.Line, pos.Column
	}
	return p
}

// Has reports whether the file has a value at path.
func (d *Doc) Has(path string) bool { return d.places[path] != nil }

// HasProblem reports whether a problem of path is known already.
func (d *Doc) HasProblem(path string) bool {
	return slices.ContainsFunc(d.problems, func(p Problem) bool { return p.path == path })
}

func (d *Doc) sort() {
	slices.SortStableFunc(d.problems, func(a, b Problem) int {
		if a.line != b.line {
			return a.line - b.line
		}
		return a.column - b.column
	})
}

func (d *Doc) add(pos *token.Position, path, format string, args ...any) {
	p := Problem{file: d.file, path: path, message: fmt.Sprintf(format, args...)}
	if pos != nil {
		p.line, p.column = pos.Line, pos.Column
	}
	d.problems = append(d.problems, p)
}

func (d *Doc) syntax(err error) {
	var ye yaml.Error
	if errors.As(err, &ye) {
		var pos *token.Position
		if t := ye.GetToken(); t != nil {
			pos = t.Position
		}
		d.add(pos, "", "%s", ye.GetMessage())
		return
	}
	d.add(nil, "", "%s", err)
}

var durationType = reflect.TypeFor[time.Duration]()

// value decodes n into v.
func (d *Doc) value(n ast.Node, v reflect.Value, path string) {
	if _, ok := d.places[path]; !ok {
		d.places[path] = position(n)
	}
	switch n := n.(type) {
	case nil, *ast.NullNode:
		return
	case *ast.AnchorNode, *ast.AliasNode, *ast.TagNode, *ast.MergeKeyNode:
		d.add(position(n), path, "anchors, aliases, tags and merge keys are not supported")
		return
	}
	switch {
	case v.Type() == durationType:
		d.duration(n, v, path)
	case v.Kind() == reflect.Struct:
		d.mapping(n, path, func(key string, kn ast.Node, vn ast.Node) { d.field(key, kn, vn, v, path) })
	case v.Kind() == reflect.Map:
		v.Set(reflect.MakeMap(v.Type()))
		d.mapping(n, path, func(key string, _ ast.Node, vn ast.Node) {
			e := reflect.New(v.Type().Elem()).Elem()
			d.value(vn, e, join(path, key))
			v.SetMapIndex(reflect.ValueOf(key).Convert(v.Type().Key()), e)
		})
	case v.Kind() == reflect.Slice:
		d.sequence(n, v, path)
	default:
		d.scalar(n, v, path)
	}
}

func (d *Doc) mapping(n ast.Node, path string, each func(key string, kn, vn ast.Node)) {
	var values []*ast.MappingValueNode
	switch n := n.(type) {
	case *ast.MappingNode:
		values = n.Values
	case *ast.MappingValueNode:
		values = []*ast.MappingValueNode{n}
	default:
		d.add(position(n), path, "must be a mapping, not %s", n.Type().YAMLName())
		return
	}
	seen := make(map[string]bool)
	for _, mv := range values {
		kn, ok := mv.Key.(ast.ScalarNode)
		if !ok || mv.Key.IsMergeKey() {
			d.add(position(mv.Key), path, "keys must be plain words")
			continue
		}
		key := fmt.Sprint(kn.GetValue())
		if seen[key] {
			d.add(position(mv.Key), join(path, key), "the key occurs more than once")
			continue
		}
		seen[key] = true
		d.places[join(path, key)] = position(mv.Key)
		each(key, mv.Key, mv.Value)
	}
}

func (d *Doc) field(key string, kn, vn ast.Node, v reflect.Value, path string) {
	var known []string
	for i := range v.NumField() {
		name := Key(v.Type().Field(i))
		if name == key {
			d.value(vn, v.Field(i), join(path, key))
			return
		}
		if name != "" {
			known = append(known, name)
		}
	}
	slices.Sort(known)
	d.add(position(kn), join(path, key), "unknown key; known keys here are %s", strings.Join(known, ", "))
}

func (d *Doc) sequence(n ast.Node, v reflect.Value, path string) {
	seq, ok := n.(*ast.SequenceNode)
	if !ok {
		d.add(position(n), path, "must be a list, not %s", n.Type().YAMLName())
		return
	}
	list := reflect.MakeSlice(v.Type(), len(seq.Values), len(seq.Values))
	for i, e := range seq.Values {
		d.value(e, list.Index(i), path+"["+strconv.Itoa(i)+"]")
	}
	v.Set(list)
}

func (d *Doc) duration(n ast.Node, v reflect.Value, path string) {
	s, ok := n.(*ast.StringNode)
	if !ok {
		d.add(position(n), path, "must be a duration with a unit, such as 100ms or 5m")
		return
	}
	dur, err := time.ParseDuration(s.Value)
	if err != nil {
		d.add(position(n), path, "%q is not a duration with a unit, such as 100ms or 5m", s.Value)
		return
	}
	v.SetInt(int64(dur))
}

func (d *Doc) scalar(n ast.Node, v reflect.Value, path string) {
	switch v.Kind() {
	case reflect.String:
		switch n := n.(type) {
		case *ast.StringNode:
			v.SetString(n.Value)
		case *ast.LiteralNode:
			v.SetString(n.Value.Value)
		default:
			d.add(position(n), path, "must be a text; put it in quotes")
		}
	case reflect.Bool:
		if b, ok := n.(*ast.BoolNode); ok {
			v.SetBool(b.Value)
			return
		}
		d.add(position(n), path, "must be true or false")
	case reflect.Int, reflect.Int64:
		if i, ok := n.(*ast.IntegerNode); ok {
			if x, err := strconv.ParseInt(fmt.Sprint(i.Value), 10, 64); err == nil && !v.OverflowInt(x) {
				v.SetInt(x)
				return
			}
		}
		d.add(position(n), path, "must be a whole number")
	default:
		d.add(position(n), path, "values of type %s are not supported", v.Type())
	}
}

// Key returns the key under which a struct field stands in a file.
func Key(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
	if name == "-" {
		return ""
	}
	return name
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

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

// depth returns an upper bound of the nesting of data. The parser recurses once per level, so a file of opening brackets
// would exhaust the stack before the parser returned.
func depth(data []byte) int {
	most := 0
	open := 0
	for line := range strings.Lines(string(data)) {
		trimmed := strings.TrimLeft(line, " ")
		levels := (len(line) - len(trimmed)) / 2
		for strings.HasPrefix(trimmed, "- ") || strings.HasPrefix(trimmed, "? ") {
			trimmed = strings.TrimLeft(trimmed[2:], " ")
			levels++
		}
		for _, c := range trimmed {
			switch c {
			case '[', '{':
				open++
			case ']', '}':
				open = max(open-1, 0)
			}
			most = max(most, open+levels)
		}
		most = max(most, open+levels)
	}
	return most
}
