package daemon

import "runtime/debug"

// revisionLength is how much of a revision's hash names a build.
const revisionLength = 12

// Build names the running build by its version and revision.
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
