package harness

import (
	"encoding/json"

	"github.com/mangostage/mangostage/bundle"
	"github.com/mangostage/mangostage/fake"
)

// marked is an input whose runs the stand-ins count by its marker.
type marked struct {
	Order  string `json:"order,omitempty"`
	Marker string `json:"marker,omitempty"`
}

// Order returns an input whose runs are counted under id.
func Order(id string) json.RawMessage { return encode(marked{Order: id}) }

// Marker returns an input that is counted alike and is no order.
func Marker(id string) json.RawMessage { return encode(marked{Marker: id}) }

func encode(m marked) json.RawMessage {
	body, err := json.Marshal(m)
	if err != nil {
		panic("harness: encode an input: " + err.Error())
	}
	return body
}

// Expect returns the one right output of a pipeline for an input.
func Expect(b *bundle.Bundle, pipeline string, input json.RawMessage) json.RawMessage {
	var previous json.RawMessage
	for _, s := range b.Pipeline(pipeline).Stages {
		if b.Pool(s.Pool).Protocol == bundle.ProtocolEngine {
			previous = fake.ExpectedEngine(s.Name, input, previous, s.MaxTokens)
			continue
		}
		previous = fake.Expected(s.Name, input, previous)
	}
	return previous
}

// Runs returns how often anything was started for a marker, at all endpoints.
func (f *Fleet) Runs(marker string) int {
	n := 0
	for _, e := range f.endpoints {
		n += e.Counts().Starts[marker]
	}
	return n
}

// StageRuns returns how often each stage was started for each marker, at all
// endpoints: by stage, then marker.
func (f *Fleet) StageRuns() map[string]map[string]int {
	sum := make(map[string]map[string]int)
	for _, e := range f.endpoints {
		for stage, starts := range e.Counts().StageStarts {
			if sum[stage] == nil {
				sum[stage] = make(map[string]int)
			}
			for marker, n := range starts {
				sum[stage][marker] += n
			}
		}
	}
	return sum
}

// TotalStarts returns how often anything was started, at all endpoints.
func (f *Fleet) TotalStarts() int {
	n := 0
	for _, e := range f.endpoints {
		n += e.Counts().TotalStarts
	}
	return n
}
