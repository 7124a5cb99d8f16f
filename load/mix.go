package load

import (
	"bytes"
	"embed"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"

	"github.com/mangostage/mangostage/bundle"
	"github.com/mangostage/mangostage/finding"
)

//go:embed mixes/*.yaml
var mixFiles embed.FS

// Mix says who asks for what.
type Mix struct {
	Accounts  []MixAccount  `yaml:"accounts"`
	Pipelines []MixPipeline `yaml:"pipelines"`
	// Groups is the number of different prompt prefixes.
	Groups int `yaml:"groups"`
	// PromptBytes is the length of a prompt prefix.
	PromptBytes int `yaml:"prompt_bytes"`
}

// MixAccount is one client account's part of the requests.
type MixAccount struct {
	Name   string  `yaml:"name"`
	Weight float64 `yaml:"weight"`
	// pipelines are those that the account may call, in the order of the mix.
	pipelines []*MixPipeline
}

// MixPipeline is one pipeline's part of the requests of an account that may
// call it.
type MixPipeline struct {
	Name   string  `yaml:"name"`
	Weight float64 `yaml:"weight"`
	// Stream is the share of its requests that ask for tokens as they come.
	Stream float64 `yaml:"stream"`
}

// BuiltInMix returns the mix for an example deployment.
func BuiltInMix(deployment string, b *bundle.Bundle) (Mix, error) {
	name := "mixes/" + deployment + ".yaml"
	data, err := mixFiles.ReadFile(name)
	if err != nil {
		return Mix{}, ErrPlan.New("there is no built-in mix for %q", deployment)
	}
	return ParseMix(name, data, b)
}

// ParseMix reads a mix and checks it against the bundle. The error is a
// finding.List.
func ParseMix(file string, data []byte, b *bundle.Bundle) (Mix, error) {
	var m Mix
	if err := yaml.UnmarshalWithOptions(data, &m, yaml.Strict()); err != nil {
		return Mix{}, finding.List{syntaxFinding(file, err)}
	}
	places := newPlaces(file, data)
	var findings finding.List
	m.check(b, places, &findings)
	if len(findings) > 0 {
		return Mix{}, findings
	}
	m.allow(b)
	return m, nil
}

func (m *Mix) check(b *bundle.Bundle, places *places, findings *finding.List) {
	if len(m.Accounts) == 0 || len(m.Pipelines) == 0 {
		findings.Add(places.at("$"), "a mix needs accounts and pipelines")
	}
	if m.Groups < 1 {
		findings.Add(places.at("$.groups"), "groups must be at least 1")
	}
	if m.PromptBytes < 0 {
		findings.Add(places.at("$.prompt_bytes"), "prompt_bytes must not be negative")
	}
	for i, a := range m.Accounts {
		at := fmt.Sprintf("$.accounts[%d]", i)
		if b.Account(a.Name) == nil {
			findings.Add(places.at(at+".name"), "the bundle has no account %q", a.Name)
		}
		if a.Weight <= 0 {
			findings.Add(places.at(at+".weight"), "the weight must be above zero")
		}
		if !slices.ContainsFunc(m.Pipelines, func(p MixPipeline) bool { return mayCall(b.Account(a.Name), p.Name) }) {
			findings.Add(places.at(at+".name"), "account %q may call none of the pipelines", a.Name)
		}
	}
	for i, p := range m.Pipelines {
		at := fmt.Sprintf("$.pipelines[%d]", i)
		if b.Pipeline(p.Name) == nil {
			findings.Add(places.at(at+".name"), "the bundle has no pipeline %q", p.Name)
		}
		if p.Weight <= 0 {
			findings.Add(places.at(at+".weight"), "the weight must be above zero")
		}
		if p.Stream < 0 || p.Stream > 1 {
			findings.Add(places.at(at+".stream"), "the share of streamed requests must lie between 0 and 1")
		}
	}
}

func mayCall(a *bundle.Account, pipeline string) bool {
	return a == nil || len(a.Pipelines) == 0 || slices.Contains(a.Pipelines, pipeline)
}

// allow finds out which pipelines each account may call.
func (m *Mix) allow(b *bundle.Bundle) {
	for i := range m.Accounts {
		a := &m.Accounts[i]
		for k := range m.Pipelines {
			if mayCall(b.Account(a.Name), m.Pipelines[k].Name) {
				a.pipelines = append(a.pipelines, &m.Pipelines[k])
			}
		}
	}
}

func (m *Mix) account(rng *rand.Rand) *MixAccount {
	i := pick(rng, len(m.Accounts), func(i int) float64 { return m.Accounts[i].Weight })
	return &m.Accounts[i]
}

func (m *Mix) pipeline(rng *rand.Rand, a *MixAccount) *MixPipeline {
	i := pick(rng, len(a.pipelines), func(i int) float64 { return a.pipelines[i].Weight })
	return a.pipelines[i]
}

// largest returns the account with the most requests.
func (m *Mix) largest() *MixAccount {
	largest := &m.Accounts[0]
	for i := range m.Accounts {
		if m.Accounts[i].Weight > largest.Weight {
			largest = &m.Accounts[i]
		}
	}
	return largest
}

// pick draws one of n by weight.
func pick(rng *rand.Rand, n int, weight func(int) float64) int {
	var sum float64
	for i := range n {
		sum += weight(i)
	}
	at := rng.Float64() * sum
	for i := range n {
		if at -= weight(i); at < 0 {
			return i
		}
	}
	return n - 1
}

// Shares returns each pipeline's share of all requests.
func (m *Mix) Shares() map[string]float64 {
	var all float64
	for i := range m.Accounts {
		all += m.Accounts[i].Weight
	}
	shares := make(map[string]float64)
	for i := range m.Accounts {
		a := &m.Accounts[i]
		var sum float64
		for _, p := range a.pipelines {
			sum += p.Weight
		}
		for _, p := range a.pipelines {
			shares[p.Name] += a.Weight / all * p.Weight / sum
		}
	}
	return shares
}

// places finds where a value stands in a YAML file.
type places struct {
	file string
	tree *ast.File
}

func newPlaces(file string, data []byte) *places {
	tree, err := parser.ParseBytes(bytes.Clone(data), 0)
	if err != nil {
		tree = nil
	}
	return &places{file: file, tree: tree}
}

// at returns the place of a path such as "$.accounts[0].name", or that of the
// nearest one above it that is there.
func (p *places) at(path string) finding.Place {
	place := finding.Place{File: p.file, Line: 1, Column: 1}
	if p.tree == nil {
		return place
	}
	for ; path != ""; path = parentPath(path) {
		parsed, err := yaml.PathString(path)
		if err != nil {
			continue
		}
		node, err := parsed.FilterFile(p.tree)
		if err == nil && node != nil && node.GetToken() != nil {
			place.Line, place.Column = node.GetToken().Position.Line, node.GetToken().Position.Column
			return place
		}
	}
	return place
}

func parentPath(path string) string {
	for i := len(path) - 1; i >= 0; i-- {
		if path[i] == '.' || path[i] == '[' {
			return path[:i]
		}
	}
	return ""
}

// syntaxFinding turns an error of the YAML library into a finding.
func syntaxFinding(file string, err error) finding.Finding {
	f := finding.Finding{Place: finding.Place{File: file, Line: 1, Column: 1}, Message: err.Error()}
	var located yaml.Error
	if errors.As(err, &located) && located.GetToken() != nil {
		f.Place.Line = located.GetToken().Position.Line
		f.Place.Column = located.GetToken().Position.Column
		f.Message = located.GetMessage()
	}
	return f
}
