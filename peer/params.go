package peer

import "encoding/json"

// encodeVerbatim encodes the params or the result of a call as JSON and returns
// the JSON text. It is sent as one JSON string, which the library does not alter.
//
// If params and results were sent as plain JSON, the library would decode params
// into maps and encode them again, and would decode results to check whether
// they are null. The first sorts the keys of inputs and stage results and drops
// repeated keys, so the endpoint gets a different text from what the caller
// sent, with a different prompt prefix from the one in the cache. The second
// ends the connection, with all calls on it, when an output contains a number
// that exceeds the range of a float64.
func encodeVerbatim(v any) (string, error) {
	body, err := json.Marshal(v)
	return string(body), err
}

// decodeVerbatim decodes what encodeVerbatim encoded.
func decodeVerbatim(raw json.RawMessage, into any) error {
	var text string
	if err := json.Unmarshal(raw, &text); err != nil {
		return err
	}
	return json.Unmarshal([]byte(text), into)
}
