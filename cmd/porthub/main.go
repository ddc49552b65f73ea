// Command porthub runs coordinators, and inspects and tests them.
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
		Long: `porthub publishes weights to plain gateways: it follows an endpoint list and the gateways' load reports, decides routing tables,
admission rates and the retry policy, and writes them as xDS files that are replaced atomically.

Exit codes: 0 success; 1 the command ran and a check failed; 2 bad usage or unreadable input;
3 failure of the environment (a port in use, a full disk).`,
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
