package bundle

import (
	"bytes"
	"encoding/json"
	"reflect"
	"strings"
)

const (
	schemaDialect = "https://json-schema.org/draft/2020-12/schema"
	schemaTitle   = "mangostage bundle"
	// durationPattern matches what time.ParseDuration accepts, without a sign.
	durationPattern = `^([0-9]+(\.[0-9]*)?(ns|us|µs|ms|s|m|h))+$|^0$`
)

// schemaNode is the part of JSON Schema that a bundle needs.
type schemaNode struct {
	Schema     string                 `json:"$schema,omitempty"`
	Title      string                 `json:"title,omitempty"`
	Type       string                 `json:"type"`
	Properties map[string]*schemaNode `json:"properties,omitempty"`
	Required   []string               `json:"required,omitempty"`
	// AdditionalProperties points to false for objects, which allow no unlisted
	// property; nil, and omitted, for all other types.
	AdditionalProperties *bool       `json:"additionalProperties,omitempty"`
	Items                *schemaNode `json:"items,omitempty"`
	Enum                 []string    `json:"enum,omitempty"`
	Pattern              string      `json:"pattern,omitempty"`
	Minimum              *int        `json:"minimum,omitempty"`
	Default              any         `json:"default,omitempty"`
}

// schemaEnums lists the allowed values of the enumerated types.
var schemaEnums = map[reflect.Type][]string{
	reflect.TypeFor[PolicyName](): {string(PolicyAdaptive), string(PolicyNaive)},
	reflect.TypeFor[Protocol]():   {string(ProtocolEngine), string(ProtocolService)},
}

// schemaRequired lists, by type, the fields whose absence is a finding of Check.
var schemaRequired = map[reflect.Type][]string{
	reflect.TypeFor[Bundle]():   {"version"},
	reflect.TypeFor[Account]():  {"name", "credential_sha256"},
	reflect.TypeFor[Operator](): {"name", "credential_sha256"},
	reflect.TypeFor[Pool]():     {"name", "endpoints"},
	reflect.TypeFor[Pipeline](): {"name", "stages"},
	reflect.TypeFor[Stage]():    {"name", "pool"},
}

// JSONSchema returns the JSON Schema of a YAML bundle, for editors. It covers
// only names, types, patterns and enumerations; Check validates the content as well.
func JSONSchema() ([]byte, error) {
	var b Bundle
	b.setDefaults()
	root := schemaOf(reflect.ValueOf(b))
	root.Schema, root.Title = schemaDialect, schemaTitle
	var out bytes.Buffer
	encoder := json.NewEncoder(&out)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(root); err != nil {
		return nil, ErrMalformed.Wrap(err, "encode schema")
	}
	return out.Bytes(), nil
}

// schemaOf returns the schema of v's type; v's value is the default.
func schemaOf(v reflect.Value) *schemaNode {
	if v.Type() == reflect.TypeFor[Duration]() {
		return &schemaNode{Type: "string", Pattern: durationPattern, Default: defaultOf(v)}
	}
	switch v.Kind() {
	case reflect.Struct:
		return structSchema(v)
	case reflect.Slice:
		return &schemaNode{Type: "array", Items: schemaOf(newDefault(v.Type().Elem()))}
	case reflect.Bool:
		return &schemaNode{Type: "boolean"}
	case reflect.Float64:
		return &schemaNode{Type: "number", Default: defaultOf(v)}
	case reflect.Int:
		return &schemaNode{Type: "integer", Default: defaultOf(v)}
	case reflect.Uint64:
		zero := 0
		return &schemaNode{Type: "integer", Minimum: &zero, Default: defaultOf(v)}
	case reflect.String:
		return &schemaNode{Type: "string", Enum: schemaEnums[v.Type()], Default: defaultOf(v)}
	}
	panic("bundle: schema uses an unsupported kind: " + v.Kind().String())
}

func structSchema(v reflect.Value) *schemaNode {
	closed := false
	node := &schemaNode{
		Type:                 "object",
		Properties:           make(map[string]*schemaNode),
		Required:             schemaRequired[v.Type()],
		AdditionalProperties: &closed,
	}
	for i := range v.NumField() {
		name, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("yaml"), ",")
		node.Properties[name] = schemaOf(v.Field(i))
	}
	return node
}

// newDefault returns a value of type t with its defaults set.
func newDefault(t reflect.Type) reflect.Value {
	p := reflect.New(t)
	if d, ok := p.Interface().(defaulter); ok {
		d.setDefaults()
	}
	return p.Elem()
}

// defaultOf returns v's value, or nil if it is zero, so that the schema omits it.
func defaultOf(v reflect.Value) any {
	if v.IsZero() {
		return nil
	}
	return v.Interface()
}
