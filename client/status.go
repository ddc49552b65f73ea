package client

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"porthub/coordinator"
)

// Status requests the status of the coordinator at an address. For a status code other than 200, the error matches
// ErrRejected.
func Status(ctx context.Context, addr string) (coordinator.Status, error) {
	var status coordinator.Status
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/tables", nil)
	if err != nil {
		return status, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return status, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return status, &RejectedError{StatusCode: response.StatusCode, Message: http.StatusText(response.StatusCode)}
	}
	if err := json.NewDecoder(response.Body).Decode(&status); err != nil {
		return status, fmt.Errorf("decode the coordinator's status: %w", err)
	}
	return status, nil
}
