package main

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"porthub/client"
	"porthub/coordinator"
	"porthub/daemon"
	"porthub/policyapi"
)

// tablesFlags holds the flags of the tables command.
type tablesFlags struct {
	addr    string
	gateway string
	asJSON  bool
}

func tablesCommand() *cobra.Command {
	flags := &tablesFlags{}
	cmd := &cobra.Command{
		Use:   "tables",
		Short: "Show the published and the confirmed version of each gateway, and since when",
		Example: `  porthub tables --addr 127.0.0.1:7070
  porthub tables --addr 127.0.0.1:7070 --gateway gw-3 --output json`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return flags.run(cmd) },
	}
	cmd.PersistentFlags().StringVar(&flags.addr, "addr", defaultAddr, "address of the coordinator")
	cmd.AddCommand(
		tablesListCommand(&flags.addr),
		tablesShowCommand(&flags.addr),
		tablesDiffCommand(&flags.addr),
		pinCommand(&flags.addr),
		rollbackCommand(&flags.addr),
		unpinCommand(&flags.addr),
	)
	outputFlag(cmd, &flags.asJSON)
	cmd.Flags().StringVar(&flags.gateway, "gateway", "", "show only this gateway")
	return cmd
}

func (f *tablesFlags) run(cmd *cobra.Command) error {
	ctx, cancel := context.WithTimeout(cmd.Context(), callTimeout)
	defer cancel()
	status, err := client.Status(ctx, f.addr)
	if err != nil {
		return fmt.Errorf("%w: %w", daemon.ErrEnvironment, err)
	}
	gateways := []coordinator.GatewayStatus{} // not nil, so that JSON output is never null, even if an older coordinator sends null
	for _, gateway := range status.Gateways {
		if f.gateway == "" || string(gateway.Gateway) == f.gateway {
			gateways = append(gateways, gateway)
		}
	}
	if f.gateway != "" && len(gateways) == 0 {
		return fmt.Errorf("no gateway %q has ever connected: check its name, and whether another coordinator serves it", f.gateway)
	}
	if f.asJSON {
		return printJSON(cmd.OutOrStdout(), gateways)
	}
	return printGateways(cmd.OutOrStdout(), status.Now, gateways)
}

func printGateways(out io.Writer, now policyapi.Microseconds, gateways []coordinator.GatewayStatus) error {
	table := newTable(out)
	fmt.Fprintln(table, "GATEWAY\tZONE\tCONNECTED\tPUBLISHED\tCONFIRMED\tAGE\tUNACKNOWLEDGED\tOPEN ENDPOINTS")
	for _, g := range gateways {
		fmt.Fprintf(table, "%s\t%s\t%v\t%s\t%s\t%s\t%d\t%s\n", g.Gateway, g.Zone, g.Connected, orDash(g.Version),
			orDash(g.Confirmed[coordinator.EndpointsDocument]), confirmationAge(now, g), g.Unacknowledged, openEndpoints(g))
	}
	return table.Flush()
}

func confirmationAge(now policyapi.Microseconds, g coordinator.GatewayStatus) string {
	at := g.ConfirmedAt[coordinator.EndpointsDocument]
	if at <= 0 {
		return "-"
	}
	return (time.Duration(int64(now)-at) * time.Microsecond).Round(100 * time.Millisecond).String()
}

// openEndpoints formats the number of open endpoints of each class.
func openEndpoints(g coordinator.GatewayStatus) string {
	var counts []string
	for _, cluster := range g.Snapshot.Clusters {
		counts = append(counts, fmt.Sprintf("%s %d", cluster.Class, g.Snapshot.OpenEndpoints(cluster.Class)))
	}
	return strings.Join(counts, ", ")
}
