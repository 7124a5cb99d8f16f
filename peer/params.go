package peer

import "encoding/json"

// verbatim encodes the params or the result of a call as one JSON string that
// holds their JSON.
//
// It guards against the library, which decodes params into maps and encodes
// them anew, and decodes results to look whether they are null. The first shows
// as inputs and stage results that reach an endpoint with their keys sorted and
// repeated keys dropped: not what the caller sent, and another prompt prefix than
// the one in the cache. The second shows as a connection that ends, with all
// calls on it, when an output has a number beyond a float64. A string keeps its
// text.
func verbatim(v any) (string, error) {
	body, err := json.Marshal(v)
	return string(body), err
}

// decode reads what verbatim encoded.
func decode(raw json.RawMessage, into any) error {
	var text string
	if err := json.Unmarshal(raw, &text); err != nil {
		return err
	}
	return json.Unmarshal([]byte(text), into)
}
