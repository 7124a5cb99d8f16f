package bundle

import (
	"os"
	"reflect"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// fieldNames adds the YAML names of all fields of a type, and of the types of
// its fields, to names.
func fieldNames(t reflect.Type, names map[string]bool) {
	switch t.Kind() {
	case reflect.Slice, reflect.Pointer:
		fieldNames(t.Elem(), names)
	case reflect.Struct:
		for i := range t.NumField() {
			f := t.Field(i)
			names[strings.Split(f.Tag.Get("yaml"), ",")[0]] = true
			fieldNames(f.Type, names)
		}
	}
}

func TestPageNamesEveryField(t *testing.T) {
	page, err := os.ReadFile("../docs/BUNDLE.md")
	assert.NilError(t, err)
	names := make(map[string]bool)
	fieldNames(reflect.TypeFor[Bundle](), names)
	for name := range names {
		assert.Assert(t, strings.Contains(string(page), "`"+name+"`"), "docs/BUNDLE.md lacks %q", name)
	}
}
