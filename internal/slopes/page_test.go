package slopes

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// commandPattern matches a benchmark command of docs/CAPACITY.md and captures its
// filter and its package.
var commandPattern = regexp.MustCompile(`(?m)^go test .*-bench '([^']+)'.* \./([a-z/]+)$`)

// TestPageCommandsMatch guards against commands of docs/CAPACITY.md that run no
// benchmark, for example after one was renamed: each alternative of a filter must
// match a benchmark of its package.
func TestPageCommandsMatch(t *testing.T) {
	page, err := os.ReadFile("../../docs/CAPACITY.md")
	assert.NilError(t, err)
	commands := commandPattern.FindAllStringSubmatch(string(page), -1)
	assert.Equal(t, len(commands), strings.Count(string(page), "-bench "))
	for _, command := range commands {
		names := benchmarkNames(t, filepath.Join("../..", command[2]))
		for part := range strings.SplitSeq(command[1], "|") {
			filter := regexp.MustCompile(part)
			found := false
			for _, name := range names {
				found = found || filter.MatchString(name)
			}
			assert.Check(t, found, "no benchmark %q in %s", part, command[2])
		}
	}
}

var benchmarkPattern = regexp.MustCompile(`(?m)^func (Benchmark\w+)\(`)

// benchmarkNames returns the names of the benchmarks in the package at dir.
func benchmarkNames(tb testing.TB, dir string) []string {
	tb.Helper()
	files, err := filepath.Glob(filepath.Join(dir, "*_test.go"))
	assert.NilError(tb, err)
	var names []string
	for _, file := range files {
		source, err := os.ReadFile(file)
		assert.NilError(tb, err)
		for _, match := range benchmarkPattern.FindAllStringSubmatch(string(source), -1) {
			names = append(names, match[1])
		}
	}
	return names
}
