package strictyaml

import (
	"fmt"
	"math"
	"reflect"
	"strings"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/token"
)

// decode stores node in out, which is a struct, slice, map[string]int, string, bool or integer.
func (f *File) decode(node ast.Node, path string, out reflect.Value) {
	switch out.Kind() {
	case reflect.Struct:
		f.decodeStruct(node, path, out)
	case reflect.Slice:
		f.decodeSlice(node, path, out)
	case reflect.Map:
		f.decodeMap(node, path, out)
	default:
		f.decodeScalar(node, path, out)
	}
}

// mappingEntry is a key with its value and its path in the file.
type mappingEntry struct {
	name  string
	path  string
	value ast.Node
}

// mappingEntries returns the entries of a mapping without duplicates; ok is false if node is not a mapping.
func (f *File) mappingEntries(node ast.Node, path string) (list []mappingEntry, ok bool) {
	var values []*ast.MappingValueNode
	flow := false
	switch n := node.(type) {
	case *ast.MappingNode:
		values, flow = n.Values, n.IsFlowStyle
	case *ast.MappingValueNode:
		values = []*ast.MappingValueNode{n}
	default:
		f.addAt(lineOf(node), path, "is %s, must be a set of keys with values", describeNode(node))
		return nil, false
	}
	seen := map[string]int{}
	for _, v := range values {
		name := keyText(v.Key)
		line := lineOf(v.Key)
		full := joinPath(path, name)
		if first, dup := seen[name]; dup {
			f.addAt(line, full, "key is given twice, first in line %d", first)
			continue
		}
		seen[name] = line
		f.lines[full] = line
		if flow {
			f.flow[full] = true
		}
		list = append(list, mappingEntry{name: name, path: full, value: v.Value})
	}
	return list, true
}

func keyText(key ast.MapKeyNode) string {
	if s, ok := key.(*ast.StringNode); ok {
		return s.Value
	}
	return strings.TrimSpace(key.GetToken().Value)
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func (f *File) decodeStruct(node ast.Node, path string, out reflect.Value) {
	list, ok := f.mappingEntries(node, path)
	if !ok {
		return
	}
	fields, names := fieldsOf(out.Type())
	for _, p := range list {
		index, known := fields[p.name]
		if !known {
			f.addAt(f.lines[p.path], p.path, "%s", unknownKeyMessage(p.name, names))
			continue
		}
		f.decode(p.value, p.path, out.Field(index))
	}
}

// fieldsOf returns the yaml names of the fields of a struct, with their indexes.
func fieldsOf(t reflect.Type) (index map[string]int, names []string) {
	index = map[string]int{}
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("yaml"), ",")
		if name != "" && name != "-" {
			index[name] = i
			names = append(names, name)
		}
	}
	return index, names
}

func (f *File) decodeSlice(node ast.Node, path string, out reflect.Value) {
	seq, ok := node.(*ast.SequenceNode)
	if !ok {
		f.addAt(lineOf(node), path, "is %s, must be a list", describeNode(node))
		return
	}
	list := reflect.MakeSlice(out.Type(), len(seq.Values), len(seq.Values))
	for i, v := range seq.Values {
		full := fmt.Sprintf("%s[%d]", path, i)
		f.lines[full] = lineOf(v)
		if m, ok := v.(*ast.MappingNode); ok && len(m.Values) > 0 {
			f.lines[full] = lineOf(m.Values[0].Key)
		}
		f.decode(v, full, list.Index(i))
	}
	out.Set(list)
}

func (f *File) decodeMap(node ast.Node, path string, out reflect.Value) {
	list, ok := f.mappingEntries(node, path)
	if !ok {
		return
	}
	m := reflect.MakeMapWithSize(out.Type(), len(list))
	for _, p := range list {
		v := reflect.New(out.Type().Elem()).Elem()
		f.decode(p.value, p.path, v)
		m.SetMapIndex(reflect.ValueOf(p.name), v)
	}
	out.Set(m)
}

func (f *File) decodeScalar(node ast.Node, path string, out reflect.Value) {
	f.recordPosition(node, path)
	switch out.Kind() {
	case reflect.String:
		switch n := node.(type) {
		case *ast.StringNode:
			out.SetString(n.Value)
			return
		case *ast.LiteralNode:
			out.SetString(n.Value.Value)
			return
		}
		f.addAt(lineOf(node), path, "is %s, must be text; put it in quotes if it is meant as text", describeNode(node))
	case reflect.Bool:
		if n, ok := node.(*ast.BoolNode); ok {
			out.SetBool(n.Value)
			return
		}
		f.addAt(lineOf(node), path, "is %s, must be true or false", describeNode(node))
	case reflect.Int, reflect.Int64:
		if v, ok := decimalInteger(node); ok {
			out.SetInt(v)
			return
		}
		f.addAt(lineOf(node), path, "is %s, must be a whole number%s", describeNode(node), unitHint(path))
	case reflect.Float64:
		if v, ok := decimalNumber(node); ok {
			out.SetFloat(v)
			return
		}
		f.addAt(lineOf(node), path, "is %s, must be a number%s", describeNode(node), unitHint(path))
	default:
		panic("strictyaml: unsupported type " + out.Type().String())
	}
}

// recordPosition stores the position of a scalar on one line, for edits.
func (f *File) recordPosition(node ast.Node, path string) {
	if node == nil || node.GetToken() == nil {
		return
	}
	t := node.GetToken()
	text := t.Value
	switch t.Type {
	case token.DoubleQuoteType, token.SingleQuoteType:
		text = strings.TrimSpace(t.Origin)
	}
	if !strings.ContainsAny(text, "\r\n") {
		f.scalars[path] = position{line: t.Position.Line, column: t.Position.Column, text: text}
	}
}

// decimalInteger accepts decimal integers only: 010 is 8 in some YAML parsers and 10 in others.
func decimalInteger(node ast.Node) (int64, bool) {
	n, ok := node.(*ast.IntegerNode)
	if !ok || n.Token.Type != token.IntegerType {
		return 0, false
	}
	switch v := n.Value.(type) {
	case int64:
		return v, true
	case uint64:
		return int64(v), v <= 1<<63-1
	}
	return 0, false
}

// decimalNumber accepts decimal numbers, with or without a fraction.
func decimalNumber(node ast.Node) (float64, bool) {
	if v, ok := decimalInteger(node); ok {
		return float64(v), true
	}
	n, ok := node.(*ast.FloatNode)
	if !ok || math.IsInf(n.Value, 0) || math.IsNaN(n.Value) {
		return 0, false
	}
	return n.Value, true
}

func describeNode(node ast.Node) string {
	switch n := node.(type) {
	case nil, *ast.NullNode:
		return "empty"
	case *ast.MappingNode, *ast.MappingValueNode:
		return "a set of keys"
	case *ast.SequenceNode:
		return "a list"
	case *ast.StringNode:
		return fmt.Sprintf("%q", shorten(n.Value))
	case *ast.LiteralNode:
		return fmt.Sprintf("%q", shorten(n.Value.Value))
	}
	return shorten(strings.TrimSpace(node.GetToken().Value))
}

func shorten(s string) string {
	const limit = 40
	r := []rune(s)
	if len(r) <= limit {
		return s
	}
	return string(r[:limit]) + "..."
}

// units maps suffixes of field names to units.
var units = []struct{ suffix, unit string }{
	{"Ms", "milliseconds"}, {"BytesPerSecond", "bytes per second"}, {"PerSecond", "a number per second"}, {"PerMinute", "a number per minute"},
	{"Seconds", "seconds"}, {"Minutes", "minutes"}, {"MB", "megabytes (1,000,000 bytes)"},
	{"Bytes", "bytes"}, {"milliCPU", "thousandths of a core"}, {"Percent", "percent"},
	{"Permille", "thousandths"},
}

// unitHint returns the end of a message about a number: its form, and its unit if the suffix of the field is known.
func unitHint(path string) string {
	for _, u := range units {
		if strings.HasSuffix(path, u.suffix) {
			return fmt.Sprintf(" in decimal digits without a unit; the unit is %s", u.unit)
		}
	}
	return " in decimal digits without a unit"
}
