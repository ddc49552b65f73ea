package main

import (
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"

	"porthub/daemon"
	"porthub/policyapi"
)

func nodesCommand() *cobra.Command {
	var addr, endpoint string
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "nodes",
		Short: "Show each endpoint: the state in every source, the decision, its reason and since when",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var endpoints daemon.Endpoints
			if err := call(cmd, addr, "/nodes", nil, &endpoints); err != nil {
				return err
			}
			if asJSON {
				return printJSON(cmd.OutOrStdout(), endpoints)
			}
			return printEndpoints(cmd.OutOrStdout(), endpoints, endpoint)
		},
	}
	cmd.Flags().StringVar(&addr, "addr", defaultAddr, "address of the coordinator")
	cmd.Flags().StringVar(&endpoint, "node", "", "show only this endpoint")
	outputFlag(cmd, &asJSON)
	return cmd
}

// printEndpoints prints a row for each endpoint, or only the row of the endpoint that is named.
func printEndpoints(out io.Writer, endpoints daemon.Endpoints, only string) error {
	table := newTable(out)
	fmt.Fprintln(table, "ENDPOINT\tZONE\tSTATE\tSINCE\tSOURCES\tREASON")
	for _, decision := range endpoints.Decisions {
		if only != "" && string(decision.Endpoint) != only {
			continue
		}
		var sources []string
		for _, observation := range decision.Observations {
			sources = append(sources, fmt.Sprintf("%s: %s (%s ago)", observation.Source, observation.Text, age(endpoints.Now, observation.At)))
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\n", decision.Endpoint, decision.Listed.Zone, decision.StateName,
			age(endpoints.Now, decision.Since), strings.Join(sources, "; "), decision.Reason)
	}
	return table.Flush()
}

func drainCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "drain NODE", Short: "Drain an endpoint until undrain, whatever the sources report; survives restarts"}
	return endpointCommand(cmd, "/nodes/drain", "drained")
}

func undrainCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "undrain NODE", Short: "End the drain of an endpoint"}
	return endpointCommand(cmd, "/nodes/undrain", "no longer drained; its state follows the sources again")
}

// endpointCommand completes a command that posts a request about one endpoint to a path and prints the outcome on success.
func endpointCommand(cmd *cobra.Command, path, outcome string) *cobra.Command {
	var addr, reason string
	cmd.Args = cobra.ExactArgs(1)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		var response daemon.EndpointResponse
		request := daemon.EndpointRequest{Endpoint: policyapi.EndpointID(args[0]), Reason: reason}
		if err := call(cmd, addr, path, request, &response); err != nil {
			return err
		}
		if response.Error != "" {
			return errors.New(response.Error)
		}
		fmt.Fprintf(cmd.OutOrStdout(), "%s: %s\n", args[0], outcome)
		return nil
	}
	cmd.Flags().StringVar(&addr, "addr", defaultAddr, "address of the coordinator")
	reasonFlag(cmd, &reason)
	return cmd
}
