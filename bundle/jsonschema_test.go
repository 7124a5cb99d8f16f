package bundle

import (
	"encoding/json"
	"os"
	"reflect"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func parsedSchema(t *testing.T) *schemaNode {
	t.Helper()
	text, err := JSONSchema()
	assert.NilError(t, err)
	var root schemaNode
	assert.NilError(t, json.Unmarshal(text, &root))
	return &root
}

func TestCommittedSchemaIsCurrent(t *testing.T) {
	want, err := JSONSchema()
	assert.NilError(t, err)
	got, err := os.ReadFile("../docs/bundle.schema.json")
	assert.NilError(t, err)
	assert.Equal(t, string(got), string(want), "regenerate it: go run ./cmd/mangostage bundle schema > docs/bundle.schema.json")
}

// collect adds the names of all properties below a node to names.
func (n *schemaNode) collect(names map[string]bool) {
	if n.Items != nil {
		n.Items.collect(names)
	}
	for name, property := range n.Properties {
		names[name] = true
		property.collect(names)
	}
}

func TestSchemaHasEveryField(t *testing.T) {
	want, got := make(map[string]bool), make(map[string]bool)
	fieldNames(reflect.TypeFor[Bundle](), want)
	parsedSchema(t).collect(got)
	assert.DeepEqual(t, got, want)
}

// minimalBundle has only the fields that the schema requires, one per line.
const minimalBundle = `version: 1
accounts:
  -
    name: shop
    credential_sha256: [ecbbd9a96c2dba74096a7c0a92a742ebd01bb95d8133bdb64a0db7a61b564340]
operators:
  -
    name: anna
    credential_sha256: [c15de198d781469a78760f52482bac96c651dec77512c11657dcb336fa480ca0]
pools:
  -
    name: engines
    endpoints: 1
pipelines:
  -
    name: catalogue
    stages:
      -
        name: read
        pool: engines
`

// The schema must require exactly the fields that Check requires, or an editor
// would mark what the daemons accept, or accept what they refuse.
func TestSchemaRequiresWhatCheckDoes(t *testing.T) {
	_, err := Check("b", []byte(minimalBundle))
	assert.NilError(t, err)
	required := 0
	var count func(n *schemaNode)
	count = func(n *schemaNode) {
		required += len(n.Required)
		for _, p := range n.Properties {
			count(p)
		}
		if n.Items != nil {
			count(n.Items)
		}
	}
	count(parsedSchema(t))
	lines := 0
	for line := range strings.Lines(minimalBundle) {
		_, value, _ := strings.Cut(line, ": ")
		if value == "" {
			continue
		}
		lines++
		_, err := Check("b", []byte(strings.Replace(minimalBundle, line, "", 1)))
		assert.Assert(t, err != nil, "Check accepts a bundle without %q", line)
	}
	// The list of stages is required too, and has no line with a value.
	assert.Equal(t, required, lines+1)
	_, err = Check("b", []byte(minimalBundle[:strings.Index(minimalBundle, "    stages:")]))
	assert.Assert(t, err != nil, "Check accepts a bundle without stages")
}

func TestSchemaEnumsAreWhatCheckAccepts(t *testing.T) {
	root := parsedSchema(t)
	policies := root.Properties["policy"].Properties["name"].Enum
	protocols := root.Properties["pools"].Items.Properties["protocol"].Enum
	for _, name := range policies {
		_, err := Check("b", []byte(minimalBundle+"policy: {name: "+name+"}\n"))
		assert.NilError(t, err)
	}
	for _, name := range protocols {
		_, err := Check("b", []byte(strings.Replace(minimalBundle, "    name: engines\n", "    name: engines\n    protocol: "+name+"\n", 1)))
		assert.Assert(t, err == nil || !strings.Contains(err.Error(), "protocol \""), "%s: %v", name, err)
	}
	_, err := Check("b", []byte(minimalBundle+"policy: {name: other}\n"))
	assert.Assert(t, err != nil)
}
