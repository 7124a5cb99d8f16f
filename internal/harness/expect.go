package harness

import (
	"encoding/json"

	"github.com/mangostage/mangostage/bundle"
	"github.com/mangostage/mangostage/fake"
)

// markedInput is an input whose runs the stand-ins count by its order ID or
// marker.
type markedInput struct {
	Order  string `json:"order,omitempty"`
	Marker string `json:"marker,omitempty"`
}

// Order returns an order input; its runs are counted under id.
func Order(id string) json.RawMessage { return encode(markedInput{Order: id}) }

// Marker returns an input that is not an order; its runs are counted under id.
func Marker(id string) json.RawMessage { return encode(markedInput{Marker: id}) }

func encode(m markedInput) json.RawMessage {
	body, err := json.Marshal(m)
	if err != nil {
		panic("harness: encode an input: " + err.Error())
	}
	return body
}

// Expect returns the only correct output of a pipeline for an input.
func Expect(b *bundle.Bundle, pipeline string, input json.RawMessage) json.RawMessage {
	var previous json.RawMessage
	for _, s := range b.Pipeline(pipeline).Stages {
		if b.Pool(s.Pool).Protocol == bundle.ProtocolEngine {
			previous = fake.ExpectedEngineOutput(s.Name, input, previous, s.MaxTokens)
			continue
		}
		previous = fake.ExpectedServiceOutput(s.Name, input, previous)
	}
	return previous
}

// Runs returns the number of stage runs started for a marker at all endpoints.
func (f *Fleet) Runs(marker string) int {
	n := 0
	for _, e := range f.endpoints {
		n += e.Counts().Starts[marker]
	}
	return n
}

// StageRuns returns the number of runs started at all endpoints, by stage and
// then by marker.
func (f *Fleet) StageRuns() map[string]map[string]int {
	runs := make(map[string]map[string]int)
	for _, e := range f.endpoints {
		for stage, starts := range e.Counts().StageStarts {
			if runs[stage] == nil {
				runs[stage] = make(map[string]int)
			}
			for marker, n := range starts {
				runs[stage][marker] += n
			}
		}
	}
	return runs
}

// TotalStarts returns the number of runs started at all endpoints.
func (f *Fleet) TotalStarts() int {
	n := 0
	for _, e := range f.endpoints {
		n += e.Counts().TotalStarts
	}
	return n
}
