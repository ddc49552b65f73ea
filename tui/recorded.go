package tui

import "fmt"

// Recorded is the Source of a capture, with one frame for each second.
type Recorded struct {
	name     string
	frames   []Frame
	position int
}

// NewRecorded returns the source of the frames, at the first.
func NewRecorded(name string, frames []Frame) *Recorded {
	return &Recorded{name: name, frames: frames}
}

// Name returns the capture's name and the position in it.
func (r *Recorded) Name() string {
	return fmt.Sprintf("%s, second %d of %d", r.name, min(r.position+1, len(r.frames)), len(r.frames))
}

// Seek moves by seconds, up to the ends. It reports true.
func (r *Recorded) Seek(seconds int) bool {
	r.position = max(0, min(r.position+seconds, len(r.frames)-1))
	return true
}

// Fetch returns the frame at the position.
func (r *Recorded) Fetch() (Frame, error) {
	if len(r.frames) == 0 {
		return Frame{}, fmt.Errorf("%s has no recorded second", r.name)
	}
	return r.frames[r.position], nil
}
