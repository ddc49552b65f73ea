package tui

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

const fetchTimeout = 3 * time.Second

// Live is a Source that fetches frames from a running coordinator.
type Live struct {
	addr string
	http http.Client
}

// NewLive returns the source of the coordinator at an address.
func NewLive(addr string) *Live {
	return &Live{addr: addr, http: http.Client{Timeout: fetchTimeout}}
}

// Name returns the address of the coordinator.
func (l *Live) Name() string { return l.addr }

// Seek returns false, because the source is live.
func (l *Live) Seek(int) bool { return false }

// Fetch requests an overview from the coordinator.
func (l *Live) Fetch() (frame Frame, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+l.addr+"/overview", nil)
	if err != nil {
		return frame, err
	}
	response, err := l.http.Do(request)
	if err != nil {
		return frame, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return frame, fmt.Errorf("the coordinator answered %s", response.Status)
	}
	err = json.NewDecoder(response.Body).Decode(&frame)
	return frame, err
}
