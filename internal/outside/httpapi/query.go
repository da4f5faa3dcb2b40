package httpapi

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
)

// exchangeJSON sends a request with an optional JSON body and decodes the JSON response into
// result. It returns false if the status is 304 (not modified). Every error wraps
// outside.ErrServerUnreachable.
func exchangeJSON(client *http.Client, limit int64, timeout time.Duration, method, url string, content, result any) (bool, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := newJSONRequest(ctx, method, url, content)
	if err != nil {
		return false, unreachable(err)
	}
	response, err := client.Do(request)
	if err != nil {
		return false, unreachable(err)
	}
	defer response.Body.Close()
	switch response.StatusCode {
	case http.StatusNotModified:
		return false, nil
	case http.StatusOK:
		return true, decodeJSON(response, limit, result)
	default:
		return false, unreachable(fmt.Errorf("unexpected HTTP status %d", response.StatusCode))
	}
}

func newJSONRequest(ctx context.Context, method, url string, content any) (*http.Request, error) {
	if content == nil {
		return http.NewRequestWithContext(ctx, method, url, nil)
	}
	body, err := json.Marshal(content)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", MediaJSON)
	return request, nil
}

func decodeJSON(response *http.Response, limit int64, result any) error {
	content, err := readLimited(response, limit)
	if err != nil {
		return unreachable(err)
	}
	if err := json.Unmarshal(content, result); err != nil {
		return unreachable(err)
	}
	return nil
}

func unreachable(err error) error {
	return fmt.Errorf("%w: %w", outside.ErrServerUnreachable, err)
}

func sinceQuery(version uint64) string {
	return "?" + QuerySince + "=" + strconv.FormatUint(version, 10)
}
