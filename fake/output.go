// Package fake provides stand-ins for the external systems: model engines,
// plain services, the configuration service and the platform's list of VMs.
// Tests and the development command run them on loopback and inject faults.
package fake

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"strings"
)

// Bounds on the length of generated text, in tokens.
const (
	minTokens     = 24
	tokenSpread   = 41
	serviceTokens = 4
)

var words = [...]string{
	"amber", "bridge", "copper", "dial", "frame", "grid", "harbour", "lens",
	"meter", "north", "outage", "pulse", "quartz", "relay", "storm", "volt",
}

// Output is the output of every run of a stand-in. It depends only on the stage
// and its inputs, so that a test can verify that an answer is complete and
// belongs to its request, whichever endpoint gave it.
type Output struct {
	Stage string `json:"stage"`
	// Echo is a hash of the stage, the input and the previous output.
	Echo   string `json:"echo"`
	Text   string `json:"text"`
	Tokens int    `json:"tokens"`
}

// ExpectedServiceOutput returns the output of a Service for the given inputs.
func ExpectedServiceOutput(stage string, input, previous json.RawMessage) json.RawMessage {
	d := digest(stage, input, previous)
	return render(stage, d, d.tokens(serviceTokens))
}

// ExpectedEngineOutput returns the output of an Engine; maxTokens of zero sets no limit.
func ExpectedEngineOutput(stage string, input, previous json.RawMessage, maxTokens int) json.RawMessage {
	d := digest(stage, input, previous)
	return render(stage, d, d.tokens(d.length(maxTokens)))
}

func render(stage string, d inputDigest, tokens []string) json.RawMessage {
	out, err := json.Marshal(Output{
		Stage:  stage,
		Echo:   hex.EncodeToString(d[:16]),
		Text:   strings.Join(tokens, ""),
		Tokens: len(tokens),
	})
	if err != nil {
		panic("fake: encode output: " + err.Error())
	}
	return out
}

type inputDigest [sha256.Size]byte

// digest hashes the inputs in canonical form, the one that the product's
// encoders write, so that white space and escaping make no difference.
func digest(stage string, input, previous json.RawMessage) inputDigest {
	var buf bytes.Buffer
	buf.WriteString(stage)
	buf.WriteByte(0)
	buf.Write(canonical(input))
	buf.WriteByte(0)
	buf.Write(canonical(previous))
	return sha256.Sum256(buf.Bytes())
}

// canonical returns raw without white space and with HTML escaped. It returns
// nil for null, as for an absent value.
func canonical(raw json.RawMessage) []byte {
	var compact, escaped bytes.Buffer
	if err := json.Compact(&compact, raw); err != nil {
		return raw
	}
	json.HTMLEscape(&escaped, compact.Bytes())
	if escaped.String() == "null" {
		return nil
	}
	return escaped.Bytes()
}

// length returns the number of tokens of a generation.
func (d inputDigest) length(maxTokens int) int {
	n := minTokens + int(d[16])%tokenSpread
	if maxTokens > 0 {
		return min(n, maxTokens)
	}
	return n
}

// tokens returns n pseudo-random tokens that depend only on the digest.
func (d inputDigest) tokens(n int) []string {
	seed := binary.BigEndian.Uint64(d[:8])
	tokens := make([]string, n)
	for i := range tokens {
		tokens[i] = words[seed%uint64(len(words))] + " "
		seed = seed*6364136223846793005 + 1442695040888963407
		seed ^= seed >> 29
	}
	return tokens
}
