package main

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
)

func TestLoadRefusesWhatItCannotRun(t *testing.T) {
	tests := map[string][]string{
		"either --self-contained or --entries": {"load"},
		"no scenario \"gale\"":                 {"load", "--self-contained", "gale"},
		"no example deployment":                {"load", "--self-contained", "--deployment", "elsewhere"},
		"must be given":                        {"load", "--entries", "127.0.0.1:1", "calm"},
		"runs only self-contained":             {"load", "--entries", "127.0.0.1:1", "--capacity", "9", "straggler"},
		"the duration must be above zero":      {"load", "--self-contained", "--duration", "0s"},
	}
	for want, args := range tests {
		done := runCommand(args...)
		assert.Equal(t, done.code, exitUsage, "%v", args)
		assert.Assert(t, cmp.Contains(done.errOut, want))
	}
	list := runCommand("load", "--list")
	assert.Equal(t, list.code, exitOK)
	assert.Assert(t, cmp.Contains(list.out, "account-flood"))
	assert.DeepEqual(t, splitEntries([]string{"a:1,https://b:2/", "c:3"}), []string{"http://a:1", "https://b:2", "http://c:3"})
}

func TestLoadCompares(t *testing.T) {
	done := runCommand("load", "--self-contained", "--compare", "naive", "--output", "json", "--seed", "5",
		"--duration", "1s", "--warmup", "100ms", "--capacity", "40", "calm")
	assert.Equal(t, done.code, exitOK, done.errOut)
	assert.Equal(t, done.errOut, "seed 5\n")
	var results loadResults
	assert.NilError(t, json.Unmarshal([]byte(done.out), &results))
	assert.Equal(t, len(results.Comparisons), 1)
	c := results.Comparisons[0]
	assert.Equal(t, string(c.Report.Policy), "adaptive")
	assert.Equal(t, string(c.Baseline.Policy), "naive")
	assert.Equal(t, c.Report.Total.Sent, c.Baseline.Total.Sent)
	assert.Assert(t, c.Report.Total.Sent > 0 && len(c.Ratios) > 0)
}
