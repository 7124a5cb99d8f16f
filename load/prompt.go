package load

import (
	"encoding/json"
	"hash/fnv"
	"math/rand/v2"

	"github.com/mangostage/mangostage/bundle"
	"github.com/mangostage/mangostage/fake"
)

// input is the input of a request. The stand-ins count runs by Marker.
type input struct {
	// Prompt comes first, so that requests of one group share a prefix.
	Prompt string `json:"prompt"`
	Marker string `json:"marker"`
}

// inputOf returns the encoded input of an arrival.
func inputOf(a *Arrival, promptBytes int) json.RawMessage {
	data, err := json.Marshal(input{Prompt: prompt(a, promptBytes), Marker: a.Marker})
	if err != nil {
		panic("load: encode input: " + err.Error())
	}
	return data
}

// letters are the characters of prompts. The repeated spaces make words.
const letters = "abcdefghijklmnopqrstuvwxyz     "

// prompt returns the prompt prefix, length bytes long, that all requests of one
// account and group share.
func prompt(a *Arrival, length int) string {
	h := fnv.New64a()
	_, _ = h.Write([]byte(a.Account))
	rng := rand.New(rand.NewPCG(h.Sum64(), uint64(a.Group)))
	text := make([]byte, length)
	for i := range text {
		text[i] = letters[rng.IntN(len(letters))]
	}
	return string(text)
}

// expected returns the output of a pipeline whose stages all run on stand-ins,
// each with the output of the stage before it.
func expected(b *bundle.Bundle, p *bundle.Pipeline, in json.RawMessage) json.RawMessage {
	var previous json.RawMessage
	for _, stage := range p.Stages {
		if b.Pool(stage.Pool).Protocol == bundle.ProtocolEngine {
			previous = fake.ExpectedEngineOutput(stage.Name, in, previous, stage.MaxTokens)
			continue
		}
		previous = fake.ExpectedServiceOutput(stage.Name, in, previous)
	}
	return previous
}
