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
	defaultAddr = "127.0.0.1:7070" // of a coordinator
	callTimeout = 5 * time.Second
)

// call requests a path of a coordinator's control API and decodes the response: a GET, or with a body a POST. A
// coordinator that can't be reached is an environment error.
func call(cmd *cobra.Command, addr, path string, body, response any) error {
	ctx, cancel := context.WithTimeout(cmd.Context(), callTimeout)
	defer cancel()
	request, err := newCall(ctx, "http://"+addr+path, body)
	if err != nil {
		return err
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("%w: is a coordinator running at %s? %w", daemon.ErrEnvironment, addr, err)
	}
	defer func() { _ = answer.Body.Close() }()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		return err
	}
	if answer.StatusCode != http.StatusOK {
		return fmt.Errorf("the coordinator answered %s: %s", answer.Status, bytes.TrimSpace(text))
	}
	return json.Unmarshal(text, response)
}

func newCall(ctx context.Context, url string, body any) (*http.Request, error) {
	if body == nil {
		return http.NewRequestWithContext(ctx, http.MethodGet, url, bytes.NewReader(nil))
	}
	text, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	return http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(text))
}
