package settings

import (
	"os"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// row is one setting in a table of docs/OPERATIONS.md: its environment variable
// and its default, or "required".
type row struct{ env, value string }

var settingRow = regexp.MustCompile("(?m)^\\| `(--[a-z-]+)` \\| `([A-Z_]+)` \\| ([^|]+) \\| [^|]+ \\|$")

// documented returns the settings listed in docs/OPERATIONS.md by flag.
func documented(t *testing.T) map[string]row {
	t.Helper()
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	assert.NilError(t, err)
	rows := make(map[string]row)
	for _, m := range settingRow.FindAllStringSubmatch(string(page), -1) {
		assert.Assert(t, rows[m[1]] == row{}, "%s is listed twice", m[1])
		rows[m[1]] = row{env: m[2], value: strings.Trim(m[3], "`")}
	}
	return rows
}

// optional holds the documented values of settings that have no default and may
// be omitted.
var optional = map[string]string{"--debug-listen": "none", "--insecure": "false"}

// defined adds the flags of a settings struct to rows, from its go-arg tags.
func defined(t reflect.Type, rows map[string]row) {
	for i := range t.NumField() {
		f := t.Field(i)
		if f.Anonymous {
			defined(f.Type, rows)
			continue
		}
		var name string
		var r row
		for _, part := range strings.Split(f.Tag.Get("arg"), ",") {
			if strings.HasPrefix(part, "--") {
				name = part
			}
			if env, ok := strings.CutPrefix(part, "env:"); ok {
				r.env = env
			}
		}
		r.value = f.Tag.Get("default")
		if r.value == "" {
			r.value = optional[name]
		}
		if r.value == "" {
			r.value = "required"
		}
		rows[name] = r
	}
}

func TestPageListsEverySetting(t *testing.T) {
	want := make(map[string]row)
	defined(reflect.TypeFor[Entry](), want)
	defined(reflect.TypeFor[Agent](), want)
	got := documented(t)
	for name := range got {
		// Certificates are required unless --insecure is given.
		r := got[name]
		r.value = strings.TrimSuffix(r.value, " without `--insecure")
		got[name] = r
	}
	assert.Equal(t, len(got), len(want), "documented: %v\ndefined: %v", got, want)
	for name, r := range want {
		assert.Equal(t, got[name], r, name)
	}
}
