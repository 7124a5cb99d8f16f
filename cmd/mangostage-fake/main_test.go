package main

import (
	"bufio"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/alexflint/go-arg"
	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/endpoint"
)

func parseArgs(t *testing.T, words ...string) args {
	var a args
	p, err := arg.NewParser(arg.Config{}, &a)
	assert.NilError(t, err)
	assert.NilError(t, p.Parse(words))
	return a
}

func TestPoolRunsAndEnds(t *testing.T) {
	file := filepath.Join(t.TempDir(), "pool.yaml")
	text := `
platform: {settings: {vm_lag: 3s}}
engines:
  - {name: fit, count: 2, settings: {token_time: 1ms, health_lag: 50ms, models: [a]}}
services:
  - {name: orders, settings: {time: 2ms, seed: 7}}
`
	assert.NilError(t, os.WriteFile(file, []byte(text), 0o600))
	a := parseArgs(t, "pool", file)
	standIns, err := a.build()
	assert.NilError(t, err)
	r, w, err := os.Pipe()
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- run(ctx, standIns, w) }()

	line, err := bufio.NewReader(r).ReadBytes('\n')
	assert.NilError(t, err)
	var got readyLine
	assert.NilError(t, json.Unmarshal(line, &got))
	var names []string
	for _, l := range got.Listening {
		names = append(names, l.Name)
	}
	assert.DeepEqual(t, names, []string{"platform", "fit-1", "fit-2", "orders"})
	p, err := endpoint.New("engine", got.Listening[1].URL)
	assert.NilError(t, err)
	h, err := p.Health(ctx)
	assert.NilError(t, err)
	assert.DeepEqual(t, h.Models, []string{"a"})
	cancel()
	assert.NilError(t, <-ended)
}

func TestFlagsReachTheSettings(t *testing.T) {
	a := parseArgs(t, "engine", "--token-time", "5ms", "--ignore-fence", "--restart-after", "1s", "--models", "a", "b")
	assert.Equal(t, a.Engine.TokenTime, 5*time.Millisecond)
	assert.Assert(t, a.Engine.IgnoreFence)
	assert.Equal(t, a.Engine.RestartAfter, time.Second)
	assert.DeepEqual(t, a.Engine.Models, []string{"a", "b"})
	b := parseArgs(t, "service", "--concurrency", "3", "--listen", "127.0.0.1:1")
	assert.Equal(t, b.Service.Concurrency, 3)
	c := parseArgs(t, "platform", "--vm-lag", "2s")
	assert.Equal(t, c.Platform.VMLag, 2*time.Second)
}

func TestPoolMistakes(t *testing.T) {
	for name, text := range map[string]string{
		"unknown field":    `engines: [{name: a, size: 2}]`,
		"no name":          `services: [{count: 2}]`,
		"count and listen": `services: [{name: a, count: 2, listen: "127.0.0.1:1"}]`,
		"empty":            `{}`,
	} {
		t.Run(name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "pool.yaml")
			assert.NilError(t, os.WriteFile(file, []byte(text), 0o600))
			_, err := loadPool(file)
			assert.Assert(t, err != nil)
		})
	}
}
