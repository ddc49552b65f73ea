package config

import (
	"errors"
	"fmt"
	"strings"
)

// ErrUnreadable is wrapped by the error for a file that can't be opened or read.
var ErrUnreadable = errors.New("can't be read")

// Finding is one problem in a file.
type Finding struct {
	File    string
	Key     string // path of the key, such as registry.eureka[0].name; "-" if the text is not a JSON object
	Line    int    // from 1
	Problem string
	Remedy  string // how to correct it
}

func (f Finding) String() string {
	return fmt.Sprintf("%s:%d: %s: %s, %s", f.File, f.Line, f.Key, f.Problem, f.Remedy)
}

// ValidationError holds all problems found, in one file or in several. Its text has one line for each problem.
type ValidationError []Finding

func (e ValidationError) Error() string {
	lines := make([]string, len(e))
	for i, finding := range e {
		lines[i] = finding.String()
	}
	return strings.Join(lines, "\n")
}
