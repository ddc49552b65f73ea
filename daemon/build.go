package daemon

import "runtime/debug"

// revisionLength is the number of characters of the VCS revision in a build's name.
const revisionLength = 12

// Build returns the name of the running build: its module version, its VCS revision and whether the source was modified. It
// returns "unknown" if the binary has no build information.
func Build() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	revision := ""
	modified := ""
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision":
			revision = " " + s.Value[:min(revisionLength, len(s.Value))]
		case s.Key == "vcs.modified" && s.Value == "true":
			modified = " modified"
		}
	}
	return info.Main.Version + revision + modified
}
