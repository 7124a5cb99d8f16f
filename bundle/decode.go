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
// file. Values that the YAML omits get their defaults. Decode does not validate
// the values; Check does.
func Decode(file string, data []byte) (*Bundle, error) {
	b, _, findings := decode(file, data)
	if err := findings.Err(); err != nil {
		return nil, err
	}
	return b, nil
}

// decode returns the bundle as far as it could be read, with the position of
// each value. Both are nil if there is no document to decode.
func decode(file string, data []byte) (*Bundle, *position, finding.List) {
	d := decoder{file: file}
	root := d.parse(data)
	if root == nil {
		return nil, nil, d.findings
	}
	b := &Bundle{}
	pos := d.decodeValue(root, reflect.ValueOf(b).Elem())
	return b, pos, d.findings
}

// decoder reads YAML nodes into Go values and continues after a mistake, so that
// all mistakes are reported at once. The library's own decoder stops at the first.
type decoder struct {
	file     string
	findings finding.List
}

// parse returns the content of the only document, or nil if it added a finding
// that rules out decoding.
func (d *decoder) parse(data []byte) ast.Node {
	start := finding.Place{File: d.file, Line: 1, Column: 1}
	if len(data) > MaxBytes {
		d.findings.Add(start, "file has %d bytes; at most %d are allowed", len(data), MaxBytes)
		return nil
	}
	if !d.checkNesting(data) {
		return nil
	}
	parsed, err := parser.ParseBytes(data, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		d.addSyntaxError(start, err)
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

// addSyntaxError adds a finding for an error of the parser, at the parser's
// token if it names one, else at start.
func (d *decoder) addSyntaxError(start finding.Place, err error) {
	var located yaml.Error
	if !errors.As(err, &located) {
		d.findings.Add(start, "%v", err)
		return
	}
	place := start
	if tk := located.GetToken(); tk != nil && tk.Position != nil {
		place = d.tokenPlace(tk)
	}
	d.findings.Add(place, "syntax error: %s", located.GetMessage())
}

// place returns the place where a node begins, or fallback if the node has no
// token.
func (d *decoder) place(node ast.Node, fallback finding.Place) finding.Place {
	// The token of a block mapping or pair is its colon; readers look for the key.
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
	return d.tokenPlace(tk)
}

// decodeValue decodes node into v and returns its position.
func (d *decoder) decodeValue(node ast.Node, v reflect.Value) *position {
	pos := &position{place: d.place(node, finding.Place{File: d.file, Line: 1, Column: 1})}
	if _, ok := node.(*ast.NullNode); ok {
		d.markInvalid(pos, "value is missing")
		return pos
	}
	switch {
	case unmarshalsText(v):
		d.decodeText(node, v, pos)
	case v.Kind() == reflect.Struct:
		d.decodeMapping(node, v, pos)
	case v.Kind() == reflect.Slice:
		d.decodeSequence(node, v, pos)
	default:
		d.decodeScalar(node, v, pos)
	}
	return pos
}

// markInvalid adds a finding at pos and marks pos as invalid.
func (d *decoder) markInvalid(pos *position, format string, args ...any) {
	pos.invalid = true
	d.findings.Add(pos.place, format, args...)
}

// decodeMapping decodes a YAML mapping into a struct.
func (d *decoder) decodeMapping(node ast.Node, v reflect.Value, pos *position) {
	pairs, ok := pairsOf(node)
	if !ok {
		d.markInvalid(pos, "expected a mapping, found %s", kindOf(node))
		return
	}
	if part, ok := v.Addr().Interface().(defaulter); ok {
		part.setDefaults()
	}
	names := fieldIndex(v.Type())
	pos.fields = make(map[string]*position, len(pairs))
	for _, pair := range pairs {
		d.decodePair(pair, v, names, pos)
	}
}

// decodePair decodes one key and its value into the field of that name.
func (d *decoder) decodePair(pair *ast.MappingValueNode, v reflect.Value, names map[string]int, pos *position) {
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
		pos.fields[key.Value] = &position{place: place, invalid: true}
		d.findings.Add(place, "value is missing")
		return
	}
	pos.fields[key.Value] = d.decodeValue(pair.Value, v.Field(index))
}

// decodeSequence decodes a YAML sequence into a slice.
func (d *decoder) decodeSequence(node ast.Node, v reflect.Value, pos *position) {
	seq, ok := node.(*ast.SequenceNode)
	if !ok {
		d.markInvalid(pos, "expected a list, found %s", kindOf(node))
		return
	}
	list := reflect.MakeSlice(v.Type(), len(seq.Values), len(seq.Values))
	pos.items = make([]*position, len(seq.Values))
	for i, item := range seq.Values {
		pos.items[i] = d.decodeValue(item, list.Index(i))
	}
	v.Set(list)
}

// pairsOf returns the pairs of a mapping. The parser may represent a mapping of
// one pair as the pair alone.
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
