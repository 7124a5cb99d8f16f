package main

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/internal/rawhttp"
)

// Guards against a broken reply of an entry that an operator is shown as its state.
func TestBrokenRepliesOfEntriesAreErrors(t *testing.T) {
	t.Parallel()
	for _, c := range rawhttp.Broken() {
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			s := rawhttp.StartCase(t, c, func(*http.Request) rawhttp.Answer { return rawhttp.Answer{Body: `{"a":1}`} })
			arguments := entryArguments{Entries: []string{s.Addr}, Credential: "c"}
			var result map[string]int
			assert.Assert(t, arguments.get(t.Context(), s.Addr, "/", &result) != nil, "%v", result)
		})
	}
}
