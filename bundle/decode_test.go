package bundle

import (
	"errors"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"github.com/mangostage/mangostage/finding"
)

func TestDecodeFillsDefaults(t *testing.T) {
	b, err := Decode("f", []byte(sample))
	assert.NilError(t, err)
	assert.Equal(t, b.Policy.Name, PolicyAdaptive)
	assert.Equal(t, b.Policy.CrashLimit, DefaultCrashLimit)
	assert.Equal(t, b.Pool("orders").Protocol, ProtocolService)
	assert.Equal(t, b.Pool("orders").Queue, DefaultQueue)
	assert.Equal(t, b.Account("shops").Weight, DefaultWeight)
	assert.Equal(t, b.Pipeline("notes").Deadline.D(), time.Second)
	assert.Equal(t, b.Pipeline("notes").MaxBody, DefaultMaxBody)
	assert.Equal(t, b.Pipeline("notes").Stages[1].Typical, DefaultTypical)

	b, err = Decode("f", []byte(sampleWith(t, "version: 3", "version: 3\npolicy: {affinity: 0, max_clock_skew: 0s}")))
	assert.NilError(t, err)
	assert.Equal(t, b.Policy.Affinity, 0.0, "an explicit zero must be kept")
	assert.Equal(t, b.Policy.MaxClockSkew, Duration(0))
	assert.Equal(t, b.Policy.MaxAttempts, DefaultMaxAttempts)
}

func TestDecodeReportsEverythingAtOnce(t *testing.T) {
	const yaml = `version: three
vesion: 3
policy: {crash_limit: 1.5, affinity: .nan, drain_after: 3}
pools:
  - name: 7
    name: twice
    fencing: yes please
    slots: {a: b}
    queue:
  - engines
pipelines: none
`
	_, err := Decode("dir/f.yaml", []byte(yaml))
	want := []string{
		`dir/f.yaml:1:10: expected an integer of at least 0, found a string`,
		`dir/f.yaml:2:1: unknown field "vesion"; did you mean version?`,
		`dir/f.yaml:3:23: expected an integer, found a number`,
		`dir/f.yaml:3:38: expected a finite number, found a number that is not finite`,
		`dir/f.yaml:3:57: expected text such as 4s, found an integer`,
		`dir/f.yaml:5:11: expected a string, found an integer`,
		`dir/f.yaml:6:5: duplicate key "name"`,
		`dir/f.yaml:7:14: expected true or false, found a string`,
		`dir/f.yaml:8:12: expected a list, found a mapping`,
		`dir/f.yaml:9:11: value is missing`,
		`dir/f.yaml:10:5: expected a mapping, found a string`,
		`dir/f.yaml:11:12: expected a list, found a string`,
	}
	assert.DeepEqual(t, strings.Split(err.Error(), "\n"), want)
	var findings finding.List
	assert.Assert(t, errors.As(err, &findings))
}

func TestDecodeRefusesMalformedFiles(t *testing.T) {
	deep := strings.Repeat("[", maxNesting+1)
	for _, c := range []struct{ yaml, want string }{
		{"", "f:1:1: file is empty"},
		{"# nothing\n", "f:1:1: file is empty"},
		{"- a\n", "f:1:1: expected a mapping, found a list"},
		// The second document has no content and so no token that gives its place.
		{"0\n---", "f:1:1: only one YAML document is allowed"},
		{"version: [1\n", "syntax error"},
		{"version: 1\n---\nversion: 2\n", "f:3:1: only one YAML document is allowed"},
		{"pools: &p []\npipelines: *p\n", "f:1:8: anchors, aliases, merge keys and tags"},
		{"version: !!int 1\n", "f:1:10: anchors"},
		{"pools: " + deep, "f:1:70: nested more than 64 levels deep"},
		{strings.Repeat("a: ", 100), "nested more than"},
		{strings.Repeat("- ", MaxBytes/4), "nested more than"},
		{strings.Repeat("#", MaxBytes+1), "at most 1048576 are allowed"},
		{"1: 2\n", "f:1:1: a key must be a plain name, found an integer"},
	} {
		_, err := Decode("f", []byte(c.yaml))
		assert.Assert(t, cmp.ErrorContains(err, c.want), "%.40q", c.yaml)
	}
}
