package bundle

import (
	"encoding"
	"math"
	"reflect"
	"sort"

	"github.com/goccy/go-yaml/ast"
)

var textUnmarshalerType = reflect.TypeFor[encoding.TextUnmarshaler]()

// unmarshalsText reports whether v implements encoding.TextUnmarshaler.
func unmarshalsText(v reflect.Value) bool {
	return v.CanAddr() && v.Addr().Type().Implements(textUnmarshalerType)
}

// decodeText decodes a scalar into a value that implements encoding.TextUnmarshaler.
func (d *decoder) decodeText(node ast.Node, v reflect.Value, pos *position) {
	s, ok := stringOf(node)
	if !ok {
		d.markInvalid(pos, "expected text such as 4s, found %s", kindOf(node))
		return
	}
	target := v.Addr().Interface().(encoding.TextUnmarshaler)
	if err := target.UnmarshalText([]byte(s)); err != nil {
		d.markInvalid(pos, "%v", err)
	}
}

// decodeScalar decodes a string, number or boolean into v.
func (d *decoder) decodeScalar(node ast.Node, v reflect.Value, pos *position) {
	ok := false
	want := ""
	switch v.Kind() {
	case reflect.String:
		want = "a string"
		var s string
		s, ok = stringOf(node)
		v.SetString(s)
	case reflect.Int:
		want = "an integer"
		var i int64
		i, ok = intOf(node)
		v.SetInt(i)
	case reflect.Uint64:
		want = "an integer of at least 0"
		var u uint64
		u, ok = uintOf(node)
		v.SetUint(u)
	case reflect.Float64:
		want = "a finite number"
		var f float64
		f, ok = floatOf(node)
		v.SetFloat(f)
	case reflect.Bool:
		want = "true or false"
		var b *ast.BoolNode
		if b, ok = node.(*ast.BoolNode); ok {
			v.SetBool(b.Value)
		}
	default:
		panic("bundle: schema uses an unsupported kind: " + v.Kind().String())
	}
	if !ok {
		d.markInvalid(pos, "expected %s, found %s", want, kindOf(node))
	}
}

func stringOf(node ast.Node) (string, bool) {
	switch n := node.(type) {
	case *ast.StringNode:
		return n.Value, true
	case *ast.LiteralNode:
		return n.Value.Value, true
	}
	return "", false
}

func intOf(node ast.Node) (int64, bool) {
	n, ok := node.(*ast.IntegerNode)
	if !ok {
		return 0, false
	}
	switch i := n.Value.(type) {
	case int64:
		return i, true
	case uint64:
		return int64(i), i <= math.MaxInt64
	}
	return 0, false
}

func uintOf(node ast.Node) (uint64, bool) {
	n, ok := node.(*ast.IntegerNode)
	if !ok {
		return 0, false
	}
	switch i := n.Value.(type) {
	case int64:
		return uint64(i), i >= 0
	case uint64:
		return i, true
	}
	return 0, false
}

func floatOf(node ast.Node) (float64, bool) {
	if n, ok := node.(*ast.FloatNode); ok {
		finite := !math.IsInf(n.Value, 0) && !math.IsNaN(n.Value)
		return n.Value, finite
	}
	if i, ok := intOf(node); ok {
		return float64(i), true
	}
	return 0, false
}

// kindOf returns the name of a node's kind, with an article, for a finding.
func kindOf(node ast.Node) string {
	switch node.(type) {
	case *ast.StringNode, *ast.LiteralNode:
		return "a string"
	case *ast.IntegerNode:
		return "an integer"
	case *ast.FloatNode:
		return "a number"
	case *ast.InfinityNode, *ast.NanNode:
		return "a number that is not finite"
	case *ast.BoolNode:
		return "a boolean"
	case *ast.SequenceNode:
		return "a list"
	case *ast.MappingNode, *ast.MappingValueNode:
		return "a mapping"
	case *ast.MergeKeyNode:
		return "a merge key"
	}
	return "a " + node.Type().YAMLName()
}

// maxSuggestDistance is the largest edit distance at which a name is suggested.
const maxSuggestDistance = 2

// suggestion returns "; did you mean …?" with the known name that is closest to
// name, or "" if none is within maxSuggestDistance.
func suggestion(name string, known map[string]int) string {
	candidates := make([]string, 0, len(known))
	for k := range known {
		candidates = append(candidates, k)
	}
	sort.Strings(candidates)
	best, nearest := "", maxSuggestDistance+1
	for _, c := range candidates {
		if d := editDistance(name, c); d < nearest {
			best, nearest = c, d
		}
	}
	if best == "" {
		return ""
	}
	return "; did you mean " + best + "?"
}

// editDistance returns the Levenshtein distance between a and b in bytes.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			substitute := diagonal
			if a[i] != b[j] {
				substitute++
			}
			diagonal = row[j+1]
			row[j+1] = min(substitute, row[j]+1, row[j+1]+1)
		}
	}
	return row[len(b)]
}
