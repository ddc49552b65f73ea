package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/spf13/cobra"

	"porthub/daemon"
)

const (
	defaultAddr = "127.0.0.1:7070" // address of a local coordinator
	callTimeout = 5 * time.Second
)

// call sends a request to a coordinator's control API and decodes the response into result. Without a body the request
// is a GET, otherwise a POST. If the coordinator can't be reached, the error wraps daemon.ErrEnvironment.
func call(cmd *cobra.Command, addr, path string, body, result any) error {
	ctx, cancel := context.WithTimeout(cmd.Context(), callTimeout)
	defer cancel()
	request, err := newRequest(ctx, "http://"+addr+path, body)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("%w: can't reach a coordinator at %s: %w", daemon.ErrEnvironment, addr, err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("the coordinator answered %s: %s", response.Status, bytes.TrimSpace(text))
	}
	return json.Unmarshal(text, result)
}

func newRequest(ctx context.Context, url string, body any) (*http.Request, error) {
	if body == nil {
		return http.NewRequestWithContext(ctx, http.MethodGet, url, bytes.NewReader(nil))
	}
	text, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	return http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(text))
}
