package main

import (
	"errors"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"porthub/daemon"
	"porthub/policyapi"
)

func nodesCommand() *cobra.Command {
	var addr, node string
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "nodes",
		Short: "Each node: what every source says, what was decided and why, since when",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var n daemon.Endpoints
			if err := call(cmd, addr, "/nodes", nil, &n); err != nil {
				return err
			}
			if asJSON {
				return printJSON(cmd.OutOrStdout(), n)
			}
			w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 4, 2, ' ', 0)
			fmt.Fprintln(w, "NODE\tZONE\tSTATE\tSINCE\tSOURCES\tWHY")
			for _, v := range n.Decisions {
				if node != "" && string(v.Endpoint) != node {
					continue
				}
				var says []string
				for _, s := range v.Observations {
					says = append(says, fmt.Sprintf("%s: %s (%s ago)", s.Source, s.Text, age(n.Now, s.At)))
				}
				fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", v.Endpoint, v.Listed.Zone, v.StateName, age(n.Now, v.Since), strings.Join(says, "; "), v.Reason)
			}
			return w.Flush()
		},
	}
	cmd.Flags().StringVar(&addr, "addr", "127.0.0.1:7070", "address of the coordinator")
	cmd.Flags().StringVar(&node, "node", "", "this one alone")
	outputFlag(cmd, &asJSON)
	return cmd
}

// drainCommands are porthub drain and undrain.
func drainCommands() []*cobra.Command {
	var out []*cobra.Command
	for _, c := range [][3]string{
		{"drain", "Take a node out until it is let in again, whatever sources say; survives restarts", "drained"},
		{"undrain", "Let a node in again", "let in again, as far as the sources have it"}} {
		var addr, reason string
		cmd := &cobra.Command{Use: c[0] + " NODE", Short: c[1], Args: cobra.ExactArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
			var a daemon.EndpointAnswer
			if err := call(cmd, addr, "/nodes/"+c[0], daemon.EndpointRequest{Endpoint: policyapi.EndpointID(args[0]), Reason: reason}, &a); err != nil {
				return err
			}
			if a.Error != "" {
				return errors.New(a.Error)
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: %s\n", args[0], c[2])
			return nil
		}}
		cmd.Flags().StringVar(&addr, "addr", "127.0.0.1:7070", "address of the coordinator")
		cmd.Flags().StringVar(&reason, "reason", "", "goes into the log")
		_ = cmd.MarkFlagRequired("reason")
		out = append(out, cmd)
	}
	return out
}
