package bundle

import (
	"errors"
	"reflect"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"

	"github.com/mangostage/mangostage/finding"
)

// yamlTag is the struct tag that names a field.
const yamlTag = "yaml"

// Decode reads a bundle from YAML. The error is a finding.List with every
// unknown field, duplicate key and wrongly typed value, each with its place in
// file. Values that the YAML omits get their defaults. Decode does not judge
// whether the values make sense; Check does.
func Decode(file string, data []byte) (*Bundle, error) {
	b, _, findings := decode(file, data)
	if err := findings.Err(); err != nil {
		return nil, err
	}
	return b, nil
}

// decode returns what could be read, with the place of each value. The
// position is nil if the file is not a YAML mapping at all.
func decode(file string, data []byte) (*Bundle, *position, finding.List) {
	d := decoder{file: file}
	root := d.parse(data)
	if root == nil {
		return nil, nil, d.findings
	}
	b := &Bundle{}
	pos := d.value(root, reflect.ValueOf(b).Elem())
	return b, pos, d.findings
}

// decoder reads YAML nodes into Go values and goes on after a mistake, so that
// all of them are reported at once. The library's own decoder stops at the first.
type decoder struct {
	file     string
	findings finding.List
}

// parse returns the only document's content, or nil after a finding.
func (d *decoder) parse(data []byte) ast.Node {
	start := finding.Place{File: d.file, Line: 1, Column: 1}
	if len(data) > MaxBytes {
		d.findings.Add(start, "file has %d bytes; at most %d are allowed", len(data), MaxBytes)
		return nil
	}
	if !d.scan(data) {
		return nil
	}
	parsed, err := parser.ParseBytes(data, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		d.syntax(start, err)
		return nil
	}
	if len(parsed.Docs) == 0 || parsed.Docs[0].Body == nil {
		d.findings.Add(start, "file is empty")
		return nil
	}
	if len(parsed.Docs) > 1 {
		d.findings.Add(d.place(parsed.Docs[1], start), "only one YAML document is allowed")
	}
	return parsed.Docs[0].Body
}

// syntax reports what the parser objected to.
func (d *decoder) syntax(start finding.Place, err error) {
	var located yaml.Error
	if !errors.As(err, &located) {
		d.findings.Add(start, "%v", err)
		return
	}
	place := start
	if tk := located.GetToken(); tk != nil && tk.Position != nil {
		place = d.at(tk)
	}
	d.findings.Add(place, "syntax error: %s", located.GetMessage())
}

// place returns where a node begins.
func (d *decoder) place(node ast.Node, fallback finding.Place) finding.Place {
	// The token of a block mapping or pair is a colon; people look for the key.
	switch n := node.(type) {
	case *ast.DocumentNode:
		if n.Body == nil {
			return fallback
		}
		return d.place(n.Body, fallback)
	case *ast.MappingNode:
		if !n.IsFlowStyle && len(n.Values) > 0 {
			return d.place(n.Values[0].Key, fallback)
		}
	case *ast.MappingValueNode:
		return d.place(n.Key, fallback)
	}
	tk := node.GetToken()
	if tk == nil || tk.Position == nil {
		return fallback
	}
	return d.at(tk)
}

// value reads node into v and returns its position.
func (d *decoder) value(node ast.Node, v reflect.Value) *position {
	pos := &position{place: d.place(node, finding.Place{File: d.file, Line: 1, Column: 1})}
	if _, ok := node.(*ast.NullNode); ok {
		d.fault(pos, "value is missing")
		return pos
	}
	switch {
	case isText(v):
		d.text(node, v, pos)
	case v.Kind() == reflect.Struct:
		d.mapping(node, v, pos)
	case v.Kind() == reflect.Slice:
		d.sequence(node, v, pos)
	default:
		d.scalar(node, v, pos)
	}
	return pos
}

// fault adds a finding at pos and marks it as judged.
func (d *decoder) fault(pos *position, format string, args ...any) {
	pos.faulty = true
	d.findings.Add(pos.place, format, args...)
}

// mapping reads a YAML mapping into a struct.
func (d *decoder) mapping(node ast.Node, v reflect.Value, pos *position) {
	pairs, ok := pairsOf(node)
	if !ok {
		d.fault(pos, "expected a mapping, found %s", kindOf(node))
		return
	}
	if part, ok := v.Addr().Interface().(defaulter); ok {
		part.setDefaults()
	}
	names := fieldIndex(v.Type())
	pos.fields = make(map[string]*position, len(pairs))
	for _, pair := range pairs {
		d.pair(pair, v, names, pos)
	}
}

// pair reads one key with its value.
func (d *decoder) pair(pair *ast.MappingValueNode, v reflect.Value, names map[string]int, pos *position) {
	place := d.place(pair.Key, pos.place)
	key, ok := pair.Key.(*ast.StringNode)
	if !ok {
		d.findings.Add(place, "a key must be a plain name, found %s", kindOf(pair.Key))
		return
	}
	index, ok := names[key.Value]
	if !ok {
		d.findings.Add(place, "unknown field %q%s", key.Value, suggestion(key.Value, names))
		return
	}
	if _, ok := pos.fields[key.Value]; ok {
		d.findings.Add(place, "duplicate key %q", key.Value)
		return
	}
	if pair.Value == nil {
		pos.fields[key.Value] = &position{place: place, faulty: true}
		d.findings.Add(place, "value is missing")
		return
	}
	pos.fields[key.Value] = d.value(pair.Value, v.Field(index))
}

// sequence reads a YAML sequence into a slice.
func (d *decoder) sequence(node ast.Node, v reflect.Value, pos *position) {
	seq, ok := node.(*ast.SequenceNode)
	if !ok {
		d.fault(pos, "expected a list, found %s", kindOf(node))
		return
	}
	list := reflect.MakeSlice(v.Type(), len(seq.Values), len(seq.Values))
	pos.items = make([]*position, len(seq.Values))
	for i, item := range seq.Values {
		pos.items[i] = d.value(item, list.Index(i))
	}
	v.Set(list)
}

// pairsOf returns the pairs of a mapping; a mapping of one pair may come as
// the pair alone.
func pairsOf(node ast.Node) ([]*ast.MappingValueNode, bool) {
	switch n := node.(type) {
	case *ast.MappingNode:
		return n.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{n}, true
	}
	return nil, false
}

// fieldIndex maps the YAML names of a struct's fields to their indices.
func fieldIndex(t reflect.Type) map[string]int {
	names := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		names[fieldName(t.Field(i))] = i
	}
	return names
}

// fieldName returns a field's name in YAML.
func fieldName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get(yamlTag), ",")
	return name
}
