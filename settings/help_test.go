package settings

import (
	"bytes"
	"testing"

	"github.com/alexflint/go-arg"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
)

func TestDaemonsHaveHelpAndVersion(t *testing.T) {
	for program, dest := range map[string]func() any{
		"mangostage-entry": func() any { return new(Entry) },
		"mangostage-agent": func() any { return new(Agent) },
	} {
		parser, err := Parse(program, dest(), []string{"--help"})
		assert.ErrorIs(t, err, arg.ErrHelp)
		var help bytes.Buffer
		parser.WriteHelp(&help)
		for _, part := range []string{program + " ", "Example:\n", "Exit codes:\n", "--version"} {
			assert.Assert(t, cmp.Contains(help.String(), part))
		}
		_, err = Parse(program, dest(), []string{"--version"})
		assert.ErrorIs(t, err, arg.ErrVersion)
		assert.Assert(t, cmp.Contains(Version(program), program+" "))
	}
}
