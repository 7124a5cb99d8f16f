package main

import (
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"

	"github.com/alexflint/go-arg"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
)

// commandNames lists the full names of the command with the given prefix and of
// all its subcommands, as declared in its struct of arguments.
func commandNames(t reflect.Type, prefix string) []string {
	names := []string{strings.TrimSpace(prefix)}
	for i := range t.NumField() {
		for part := range strings.SplitSeq(t.Field(i).Tag.Get("arg"), ",") {
			if name, ok := strings.CutPrefix(part, "subcommand:"); ok {
				names = append(names, commandNames(t.Field(i).Type.Elem(), prefix+" "+name)...)
			}
		}
	}
	return names
}

func TestEveryCommandHasHelp(t *testing.T) {
	all := commandNames(reflect.TypeFor[arguments](), "")
	assert.Equal(t, len(all), len(helpByCommand))
	for _, name := range all {
		h, ok := helpByCommand[name]
		assert.Assert(t, ok, "no help for %q", name)
		done := runCommand(append(strings.Fields(name), "--help")...)
		assert.Equal(t, done.code, exitOK)
		assert.Assert(t, len(h.examples) > 0)
		assert.Assert(t, cmp.Contains(done.out, h.examples[0]))
		assert.Assert(t, cmp.Contains(done.out, "Exit codes:"))
		assert.Equal(t, done.errOut, "")
	}
}

func TestExamplesParse(t *testing.T) {
	for name, h := range helpByCommand {
		for _, example := range h.examples {
			line, _, _ := strings.Cut(example, " >")
			_, line, _ = strings.Cut(line, "mangostage ")
			if strings.HasPrefix(line, "COMMAND") {
				continue
			}
			var parsed arguments
			parser, err := arg.NewParser(arg.Config{Program: "mangostage"}, &parsed)
			assert.NilError(t, err)
			assert.NilError(t, parser.Parse(strings.Fields(line)), "%s: %s", name, example)
		}
	}
}

// TestRefusalAndFailureDiffer checks that a script can distinguish by the exit
// code between a rejected credential, where a retry is useless, and an unreachable
// entry, where a retry may help.
func TestRefusalAndFailureDiffer(t *testing.T) {
	entry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusUnauthorized)
	}))
	ask := func(args ...string) result {
		return runCommand(append(args, "--entries", entry.URL, "--credential", "x")...)
	}
	for _, args := range [][]string{{"status"}, {"explain", "mr1.x"}} {
		done := ask(args...)
		assert.Equal(t, done.code, exitFindings, done.errOut)
		assert.Equal(t, done.out, "")
		assert.Assert(t, cmp.Contains(done.errOut, "401"))
	}
	entry.Close()
	assert.Equal(t, ask("status").code, exitUsage)
}

func TestKeygenAndSignWriteJSON(t *testing.T) {
	dir := t.TempDir()
	made := runCommand("bundle", "keygen", "--out", dir, "--output", "json")
	assert.Equal(t, made.code, exitOK, made.errOut)
	assert.Assert(t, cmp.Contains(made.out, `"key": "`))
	signed := runCommand("bundle", "sign", "--key", dir+"/"+privateKeyFile, "-o", dir+"/signed", "--output", "json",
		writeExample(t, "version: 1", "version: 3"))
	assert.Equal(t, signed.code, exitOK, signed.errOut)
	assert.Assert(t, cmp.Contains(signed.out, `"version": 3`))
}
