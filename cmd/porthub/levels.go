package main

import (
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"

	"porthub/coordinator"
	"porthub/degradation"
	"porthub/policyapi"
)

func levelsCommand() *cobra.Command {
	var addr string
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "levels",
		Short: "Show the service level of each scope: since when, why, its end conditions and the gateways that have it",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var status coordinator.DegradationStatus
			if err := call(cmd, addr, "/levels", nil, &status); err != nil {
				return err
			}
			if asJSON {
				return printJSON(cmd.OutOrStdout(), status)
			}
			return printLevels(cmd.OutOrStdout(), status)
		},
	}
	cmd.PersistentFlags().StringVar(&addr, "addr", defaultAddr, "address of the coordinator")
	outputFlag(cmd, &asJSON)
	cmd.AddCommand(levelSetCommand(&addr), levelClearCommand(&addr), levelSimulateCommand())
	return cmd
}

func printLevels(out io.Writer, status coordinator.DegradationStatus) error {
	if len(status.Scopes) == 0 {
		fmt.Fprintln(out, "no service levels are configured: set service.levels in the configuration")
		return nil
	}
	table := newTable(out)
	printScopes(table, status)
	printSignals(table, status)
	printOverrides(table, status)
	if err := table.Flush(); err != nil {
		return err
	}
	if status.Disconnected > 0 {
		fmt.Fprintf(out, "%d gateways are disconnected and keep using their cached tables\n", status.Disconnected)
	}
	return nil
}

// scopeName returns the name of a scope, which is a zone or the fleet.
func scopeName(zone policyapi.Zone) string {
	if zone == degradation.FleetScope {
		return "fleet"
	}
	return string(zone)
}

func printScopes(table io.Writer, status coordinator.DegradationStatus) {
	fmt.Fprintln(table, "SCOPE\tLEVEL\tFOR\tREASON\tEND CONDITIONS\tGATEWAYS")
	for _, scope := range status.Scopes {
		since := "-"
		if scope.Since > 0 {
			since = age(status.Now, scope.Since)
		}
		var gateways []string
		for level, count := range status.Gateways[string(scope.Zone)] {
			gateways = append(gateways, fmt.Sprintf("%d at %s", count, status.Levels[min(level, len(status.Levels)-1)]))
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\n", scopeName(scope.Zone), scope.Name, since, orDash(scope.Reason),
			orDash(strings.Join(scope.EndConditions, "; ")), orDash(strings.Join(gateways, ", ")))
	}
}

// printSignals prints a row for each trigger, with a column for each scope.
func printSignals(table io.Writer, status coordinator.DegradationStatus) {
	fmt.Fprint(table, "\nSIGNAL")
	for _, scope := range status.Scopes {
		fmt.Fprintf(table, "\t%s", scopeName(scope.Zone))
	}
	fmt.Fprintln(table)
	for i, signal := range status.Scopes[0].Signals {
		fmt.Fprint(table, signal.Trigger)
		for _, scope := range status.Scopes {
			if signal := scope.Signals[i]; signal.Known {
				fmt.Fprintf(table, "\t%.2f", signal.Value)
			} else {
				fmt.Fprint(table, "\t-")
			}
		}
		fmt.Fprintln(table)
	}
}

func printOverrides(table io.Writer, status coordinator.DegradationStatus) {
	fmt.Fprintln(table, "\nOVERRIDE\tACTION\tSCOPE\tLEVEL\tENDS IN\tREASON")
	for _, override := range status.Overrides {
		fmt.Fprintf(table, "%d\t%s\t%s\t%s\t%s\t%s\n", override.ID, override.Action, orDash(string(override.Zone)),
			status.Levels[override.Level], age(override.Until, status.Now), override.Reason)
	}
}
