package tui

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// Live is a running coordinator.
type Live struct {
	addr string
	http http.Client
}

// NewLive looks at the coordinator at an address.
func NewLive(addr string) *Live {
	return &Live{addr: addr, http: http.Client{Timeout: 3 * time.Second}}
}

// Name is its address.
func (l *Live) Name() string { return l.addr }

// Move goes nowhere: it always shows now.
func (l *Live) Move(int) bool { return false }

// Look asks for an overview.
func (l *Live) Look() (m Frame, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), l.http.Timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+l.addr+"/overview", nil)
	if err != nil {
		return m, err
	}
	res, err := l.http.Do(req)
	if err != nil {
		return m, err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return m, fmt.Errorf("the coordinator answered %s", res.Status)
	}
	err = json.NewDecoder(res.Body).Decode(&m)
	return m, err
}

// Recorded is a course that has been, a moment a second.
type Recorded struct {
	name    string
	moments []Frame
	at      int
}

// NewRecorded shows moments, the first one first.
func NewRecorded(name string, moments []Frame) *Recorded {
	return &Recorded{name: name, moments: moments}
}

// Name tells what it is and where it stands.
func (r *Recorded) Name() string {
	return fmt.Sprintf("%s, second %d of %d", r.name, min(r.at+1, len(r.moments)), len(r.moments))
}

// Move goes so many seconds on or back, no further than the ends.
func (r *Recorded) Move(seconds int) bool {
	r.at = max(0, min(r.at+seconds, len(r.moments)-1))
	return true
}

// Look is the moment at which it stands.
func (r *Recorded) Look() (Frame, error) {
	if len(r.moments) == 0 {
		return Frame{}, fmt.Errorf("%s holds no second", r.name)
	}
	return r.moments[r.at], nil
}
