package main

import (
	"encoding/json"
	"image/png"
	"os"
	"path/filepath"
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

func TestLoadPlotsEachScenario(t *testing.T) {
	dir := t.TempDir()
	done := runCommand("load", "--self-contained", "--seed", "5", "--duration", "1s", "--warmup", "100ms", "--capacity", "40",
		"--plot", filepath.Join(dir, "run.PNG"), "calm", "burst")
	assert.Equal(t, done.code, exitOK, done.errOut)
	for _, name := range []string{"run-calm.PNG", "run-burst.PNG"} {
		file, err := os.Open(filepath.Join(dir, name))
		assert.NilError(t, err)
		_, err = png.Decode(file)
		assert.NilError(t, err)
		assert.NilError(t, file.Close())
	}
}

func TestLoadRefusesUnusablePlotsBeforeTheRun(t *testing.T) {
	dir := t.TempDir()
	kept := filepath.Join(dir, "kept.png")
	assert.NilError(t, os.WriteFile(kept, []byte("old"), 0o600))
	tests := map[string][]string{
		"does not end in .png":      {"--plot", filepath.Join(dir, "x.jpg"), "calm"},
		"no such file or directory": {"--plot", filepath.Join(dir, "absent", "x.png"), "calm"},
		"is a directory":            {"--plot", filepath.Join(t.TempDir(), "x.png"), "calm"},
		"two runs of calm":          {"--plot", filepath.Join(dir, "x.png"), "calm", "calm"},
	}
	assert.NilError(t, os.Mkdir(tests["is a directory"][1], 0o700))
	for want, args := range tests {
		done := runCommand(append([]string{"load", "--self-contained", "--duration", "1h"}, args...)...)
		assert.Equal(t, done.code, exitUsage, "%v", args)
		assert.Assert(t, cmp.Contains(done.errOut, want))
		assert.Equal(t, done.out, "")
	}
	assert.NilError(t, checkWritable(kept))
	assert.NilError(t, checkWritable(filepath.Join(dir, "new.png")))
	entries, err := os.ReadDir(dir)
	assert.NilError(t, err)
	assert.Equal(t, len(entries), 1, "a check leaves no files")
	content, err := os.ReadFile(kept)
	assert.NilError(t, err)
	assert.Equal(t, string(content), "old")
}
