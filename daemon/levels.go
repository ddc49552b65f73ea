package daemon

import (
	"fmt"
	"net/http"

	"porthub/capture"
	"porthub/coordinator"
	"porthub/degradation"
	"porthub/policyapi"
)

// LevelRequest is the body of POST /levels/say.
type LevelRequest struct {
	Action   degradation.Action     `json:"do"`    // force, forbid or hold
	Zone     policyapi.Zone         `json:"zone"`  // empty: the fleet
	Level    string                 `json:"level"` // of force and forbid: its name
	Duration policyapi.Microseconds `json:"for_us"`
	Reason   string                 `json:"reason"`
}

// ClearLevelRequest is the body of POST /levels/unsay.
type ClearLevelRequest struct {
	ID     int    `json:"id"`
	Reason string `json:"reason"`
}

// LevelAnswer answers both.
type LevelAnswer struct {
	Override degradation.Override `json:"word"`
	Error    string               `json:"error,omitempty"`
}

// levelOperation reads an operator's request about levels; what it returns runs in the loop that owns the core.
func (d *Daemon) levelOperation(req *http.Request, read func(any) error) (func(*coordinator.Core) []byte, int, error) {
	answer := func(c *coordinator.Core, w degradation.Override, err error, record capture.Command) []byte {
		if err != nil {
			return encodeAnswer(LevelAnswer{w, err.Error()})
		}
		d.capture(&capture.Record{Command: &record})
		d.saveSnapshot(c.Now(), true) // it survives a crash from here on
		return encodeAnswer(LevelAnswer{Override: w})
	}
	switch req.URL.Path {
	case "/levels":
		return func(c *coordinator.Core) []byte { return encodeAnswer(c.Degradation()) }, 0, nil
	case "/levels/unsay":
		var r ClearLevelRequest
		if err := read(&r); err != nil {
			return nil, http.StatusBadRequest, err
		}
		return func(c *coordinator.Core) []byte {
			w, err := c.ClearLevelOverride(r.ID, r.Reason)
			return answer(c, w, err, capture.Command{ClearOverride: r.ID, Reason: r.Reason})
		}, 0, nil
	}
	var r LevelRequest
	if err := read(&r); err != nil {
		return nil, http.StatusBadRequest, err
	}
	level, known := d.coreSettings.Degradation.LevelNamed(r.Level)
	if !known && r.Action != degradation.HoldLevel {
		return nil, http.StatusBadRequest, fmt.Errorf("%w: %q", degradation.ErrUnknownLevel, r.Level)
	}
	return func(c *coordinator.Core) []byte {
		w := degradation.Override{Action: r.Action, Zone: r.Zone, Level: level, Until: c.Now() + r.Duration, Reason: r.Reason}
		said, err := c.SetLevelOverride(w)
		return answer(c, said, err, capture.Command{SetOverride: &w})
	}, 0, nil
}
