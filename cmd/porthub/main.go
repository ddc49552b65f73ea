// Command porthub runs and examines coordinators.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

func main() {
	err := root().Execute()
	if err != nil && !errors.Is(err, errCheckFailed) {
		fmt.Fprintln(os.Stderr, "porthub:", err)
	}
	os.Exit(exitCode(err))
}

func root() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "porthub",
		Short: "A traffic director for sidecar fleets",
		Long: `porthub hands plain gateways their weights: it follows a node list and the gateways' reports, decides tables,
admission levels and second tries, and writes them as xDS files that are swapped whole.

Exit codes: 0 all well; 1 it ran and something asked for does not hold; 2 bad usage or unreadable input;
3 the machine failed (a port taken, a disk full).`,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	cmd.AddCommand(
		serveCommand(),
		nodeCommand(),
		checkCommand(),
		tablesCommand(),
		chaosCommand(),
		solveCommand(),
		captureCommand(),
		replayCommand(),
		explainCommand(),
		nodesCommand(),
		drainCommand(),
		undrainCommand(),
		levelsCommand(),
		expectCommand(),
		topCommand(),
		manCommand(),
		versionCommand(),
	)
	return cmd
}
