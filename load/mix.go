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

// Mix describes how requests are distributed over client accounts and pipelines.
type Mix struct {
	Accounts  []MixAccount  `yaml:"accounts"`
	Pipelines []MixPipeline `yaml:"pipelines"`
	// Groups is the number of different prompt prefixes.
	Groups int `yaml:"groups"`
	// PromptBytes is the length of a prompt prefix in bytes.
	PromptBytes int `yaml:"prompt_bytes"`
}

// MixAccount is a client account and its weight among the accounts.
type MixAccount struct {
	Name   string  `yaml:"name"`
	Weight float64 `yaml:"weight"`
	// pipelines are the pipelines that the account may call, in the mix's order.
	pipelines []*MixPipeline
}

// MixPipeline is a pipeline and its weight among the pipelines that an account
// may call.
type MixPipeline struct {
	Name   string  `yaml:"name"`
	Weight float64 `yaml:"weight"`
	// Stream is the fraction of the pipeline's requests that ask for a streamed
	// answer.
	Stream float64 `yaml:"stream"`
}

// BuiltInMix returns the built-in mix of an example deployment. It returns
// ErrPlan if there is none.
func BuiltInMix(deployment string, b *bundle.Bundle) (Mix, error) {
	name := "mixes/" + deployment + ".yaml"
	data, err := mixFiles.ReadFile(name)
	if err != nil {
		return Mix{}, ErrPlan.New("there is no built-in mix for %q", deployment)
	}
	return ParseMix(name, data, b)
}

// ParseMix decodes a mix from YAML and checks it against the bundle. The error
// is a finding.List whose places are in file.
func ParseMix(file string, data []byte, b *bundle.Bundle) (Mix, error) {
	var m Mix
	if err := yaml.UnmarshalWithOptions(data, &m, yaml.Strict()); err != nil {
		return Mix{}, finding.List{syntaxFinding(file, err)}
	}
	locator := newLocator(file, data)
	var findings finding.List
	m.check(b, locator, &findings)
	if len(findings) > 0 {
		return Mix{}, findings
	}
	m.resolvePipelines(b)
	return m, nil
}

// check adds a finding for each fault of the mix.
func (m *Mix) check(b *bundle.Bundle, locator *locator, findings *finding.List) {
	if len(m.Accounts) == 0 || len(m.Pipelines) == 0 {
		findings.Add(locator.at("$"), "a mix needs accounts and pipelines")
	}
	if m.Groups < 1 {
		findings.Add(locator.at("$.groups"), "groups must be at least 1")
	}
	if m.PromptBytes < 0 {
		findings.Add(locator.at("$.prompt_bytes"), "prompt_bytes must not be negative")
	}
	for i, a := range m.Accounts {
		at := fmt.Sprintf("$.accounts[%d]", i)
		if b.Account(a.Name) == nil {
			findings.Add(locator.at(at+".name"), "the bundle has no account %q", a.Name)
		}
		if a.Weight <= 0 {
			findings.Add(locator.at(at+".weight"), "the weight must be above zero")
		}
		if !slices.ContainsFunc(m.Pipelines, func(p MixPipeline) bool { return mayCall(b.Account(a.Name), p.Name) }) {
			findings.Add(locator.at(at+".name"), "account %q may call none of the pipelines", a.Name)
		}
	}
	for i, p := range m.Pipelines {
		at := fmt.Sprintf("$.pipelines[%d]", i)
		if b.Pipeline(p.Name) == nil {
			findings.Add(locator.at(at+".name"), "the bundle has no pipeline %q", p.Name)
		}
		if p.Weight <= 0 {
			findings.Add(locator.at(at+".weight"), "the weight must be above zero")
		}
		if p.Stream < 0 || p.Stream > 1 {
			findings.Add(locator.at(at+".stream"), "the share of streamed requests must lie between 0 and 1")
		}
	}
}

// mayCall reports whether an account may call a pipeline. It is true for a nil
// account, which check reports separately.
func mayCall(a *bundle.Account, pipeline string) bool {
	return a == nil || len(a.Pipelines) == 0 || slices.Contains(a.Pipelines, pipeline)
}

// resolvePipelines sets the pipelines that each account may call.
func (m *Mix) resolvePipelines(b *bundle.Bundle) {
	for i := range m.Accounts {
		a := &m.Accounts[i]
		for k := range m.Pipelines {
			if mayCall(b.Account(a.Name), m.Pipelines[k].Name) {
				a.pipelines = append(a.pipelines, &m.Pipelines[k])
			}
		}
	}
}

func (m *Mix) drawAccount(rng *rand.Rand) *MixAccount {
	i := drawWeighted(rng, len(m.Accounts), func(i int) float64 { return m.Accounts[i].Weight })
	return &m.Accounts[i]
}

func (m *Mix) drawPipeline(rng *rand.Rand, a *MixAccount) *MixPipeline {
	i := drawWeighted(rng, len(a.pipelines), func(i int) float64 { return a.pipelines[i].Weight })
	return a.pipelines[i]
}

// largestAccount returns the account with the highest weight; the first one if
// several have it.
func (m *Mix) largestAccount() *MixAccount {
	largest := &m.Accounts[0]
	for i := range m.Accounts {
		if m.Accounts[i].Weight > largest.Weight {
			largest = &m.Accounts[i]
		}
	}
	return largest
}

// drawWeighted draws an index below n with probabilities proportional to the
// weights.
func drawWeighted(rng *rand.Rand, n int, weight func(int) float64) int {
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

// Shares returns each pipeline's fraction of all requests.
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

// locator finds the positions of values in a YAML file. Its tree is nil if the
// file cannot be parsed.
type locator struct {
	file string
	tree *ast.File
}

func newLocator(file string, data []byte) *locator {
	tree, err := parser.ParseBytes(bytes.Clone(data), 0)
	if err != nil {
		tree = nil
	}
	return &locator{file: file, tree: tree}
}

// at returns the position of a path such as "$.accounts[0].name". If the file
// does not have the path, it returns the position of the nearest parent that
// exists, or else the start of the file.
func (p *locator) at(path string) finding.Place {
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

// parentPath strips the last element of a path; it returns "" for the root.
func parentPath(path string) string {
	for i := len(path) - 1; i >= 0; i-- {
		if path[i] == '.' || path[i] == '[' {
			return path[:i]
		}
	}
	return ""
}

// syntaxFinding converts an error of the YAML decoder to a finding, with its
// position if the error has one.
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
