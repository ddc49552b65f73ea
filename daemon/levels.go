package daemon

import (
	"fmt"

	"porthub/capture"
	"porthub/coordinator"
	"porthub/degradation"
	"porthub/policyapi"
)

// LevelRequest is the body of POST /levels/say: an override of the service levels.
type LevelRequest struct {
	Action   degradation.Action     `json:"do"`    // force, forbid or hold
	Zone     policyapi.Zone         `json:"zone"`  // empty: the whole fleet
	Level    string                 `json:"level"` // name of the level to force or forbid
	Duration policyapi.Microseconds `json:"for_us"`
	Reason   string                 `json:"reason"`
}

// ClearLevelRequest is the body of POST /levels/unsay.
type ClearLevelRequest struct {
	ID     int    `json:"id"`
	Reason string `json:"reason"`
}

// LevelResponse is the response to POST /levels/say and /levels/unsay. Error is empty if the command succeeded.
type LevelResponse struct {
	Override degradation.Override `json:"word"`
	Error    string               `json:"error,omitempty"`
}

func (d *Daemon) setLevelOperation(body []byte) (operation, error) {
	request, err := readBody[LevelRequest](body)
	if err != nil {
		return nil, err
	}
	level, ok := d.coreSettings.Degradation.LevelNamed(request.Level)
	if !ok && request.Action != degradation.HoldLevel {
		return nil, badRequest(fmt.Errorf("%w: %q", degradation.ErrUnknownLevel, request.Level))
	}
	return func(c *coordinator.Core) []byte {
		override := degradation.Override{Action: request.Action, Zone: request.Zone, Level: level, Until: c.Now() + request.Duration, Reason: request.Reason}
		set, err := c.SetLevelOverride(override)
		return d.levelResponse(c, set, err, capture.Command{SetOverride: &override})
	}, nil
}

func (d *Daemon) clearLevelOperation(body []byte) (operation, error) {
	request, err := readBody[ClearLevelRequest](body)
	if err != nil {
		return nil, err
	}
	return func(c *coordinator.Core) []byte {
		cleared, err := c.ClearLevelOverride(request.ID, request.Reason)
		return d.levelResponse(c, cleared, err, capture.Command{ClearOverride: request.ID, Reason: request.Reason})
	}, nil
}

// levelResponse returns the response to a command that ended with err. If it succeeded, levelResponse records it and saves a
// snapshot, so that the override survives a crash.
func (d *Daemon) levelResponse(c *coordinator.Core, override degradation.Override, err error, command capture.Command) []byte {
	if err != nil {
		return encodeResponse(LevelResponse{Override: override, Error: err.Error()})
	}
	d.recorder.command(command)
	d.saveSnapshot(c.Now(), true)
	return encodeResponse(LevelResponse{Override: override})
}
