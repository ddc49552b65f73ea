package tui

import "fmt"

// Recorded is a Source with the frames of a capture, one for each second.
type Recorded struct {
	name     string
	frames   []Frame
	position int
}

// NewRecorded returns a source of the frames that is positioned at the first one.
func NewRecorded(name string, frames []Frame) *Recorded {
	return &Recorded{name: name, frames: frames}
}

// Name returns the name of the capture and the current position.
func (r *Recorded) Name() string {
	return fmt.Sprintf("%s, second %d of %d", r.name, min(r.position+1, len(r.frames)), len(r.frames))
}

// Seek moves the position by a number of seconds, but not beyond the ends of the capture. It returns true.
func (r *Recorded) Seek(seconds int) bool {
	r.position = max(0, min(r.position+seconds, len(r.frames)-1))
	return true
}

// Fetch returns the frame at the current position.
func (r *Recorded) Fetch() (Frame, error) {
	if len(r.frames) == 0 {
		return Frame{}, fmt.Errorf("%s has no recorded second", r.name)
	}
	return r.frames[r.position], nil
}
