package httpapi

import (
	"encoding/json"
	"errors"
)

var errNotObject = errors.New("body is not a JSON object")

// streamField is the field of the OpenAI API that requests a stream.
const streamField = "stream"

// StreamingBody returns a client's JSON body with "stream" set to true. A body that requests
// a stream already is returned unchanged.
func StreamingBody(body []byte) ([]byte, error) {
	requested := struct {
		Stream bool `json:"stream"`
	}{}
	if err := json.Unmarshal(body, &requested); err != nil {
		return nil, err
	}
	if requested.Stream {
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
