package httpapi

import (
	"encoding/json"
	"errors"
)

var errNotObject = errors.New("body is not a JSON object")

// streamField is the OpenAI field that asks for a stream.
const streamField = "stream"

// StreamingBody returns a caller's JSON body with "stream" set to true. A body that asks
// for a stream already is returned unchanged.
func StreamingBody(body []byte) ([]byte, error) {
	wish := struct {
		Stream bool `json:"stream"`
	}{}
	if err := json.Unmarshal(body, &wish); err != nil {
		return nil, err
	}
	if wish.Stream {
		return body, nil
	}
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, err
	}
	if fields == nil {
		return nil, errNotObject
	}
	fields[streamField] = json.RawMessage("true")
	return json.Marshal(fields)
}
