package main

import (
	"fmt"
	"runtime/debug"

	"github.com/spf13/cobra"
)

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version and revision of this build",
		Args:  cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) {
			version, revision := buildVersion()
			fmt.Fprintf(cmd.OutOrStdout(), "porthub %s %s\n", version, revision)
		},
	}
}

// buildVersion returns the module's version and the revision of the source, which is empty if it is unknown.
func buildVersion() (version, revision string) {
	version = "development"
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return version, revision
	}
	if info.Main.Version != "" && info.Main.Version != "(devel)" {
		version = info.Main.Version
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			revision = setting.Value
		}
	}
	return version, revision
}
