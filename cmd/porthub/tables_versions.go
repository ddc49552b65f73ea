package main

import (
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/spf13/cobra"

	"porthub/daemon"
	"porthub/routing"
)

func tablesListCommand(addr *string) *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "List tables with their versions, and pins",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var versions daemon.Versions
			if err := call(cmd, *addr, "/tables/versions", nil, &versions); err != nil {
				return err
			}
			return printVersions(cmd.OutOrStdout(), versions)
		},
	}
}

func printVersions(out io.Writer, versions daemon.Versions) error {
	table := newTable(out)
	fmt.Fprintln(table, "TABLE\tZONE\tGATEWAYS\tVERSIONS\tLAST\tAGE\tENDPOINTS")
	for _, t := range versions.Tables {
		last := t.Versions[len(t.Versions)-1]
		fmt.Fprintf(table, "%d\t%s\t%d\t%d\t%d\t%s\t%d\n", t.Table, orDash(string(t.Zone)), t.Gateways, len(t.Versions), last.Version,
			age(versions.Now, last.At), len(last.Endpoints))
	}
	fmt.Fprintln(table, "\nPIN\tSCOPE\tPINNED TO\tSINCE\tREASON")
	for _, pin := range versions.Pins {
		pinned := fmt.Sprintf("version %d", pin.Version)
		if pin.Version == 0 {
			pinned = "as " + age(versions.Now, pin.At) + " ago"
		}
		fmt.Fprintf(table, "%d\t%s\t%s\t%s ago\t%s\n", pin.ID, pin.Scope, pinned, age(versions.Now, pin.PinnedAt), pin.Reason)
	}
	return table.Flush()
}

// findTable requests the versions of all tables and also returns those of one table.
func findTable(cmd *cobra.Command, addr string, table int) (daemon.Versions, daemon.TableVersions, error) {
	var versions daemon.Versions
	if err := call(cmd, addr, "/tables/versions", nil, &versions); err != nil {
		return versions, daemon.TableVersions{}, err
	}
	for _, t := range versions.Tables {
		if int(t.Table) == table {
			return versions, t, nil
		}
	}
	return versions, daemon.TableVersions{}, fmt.Errorf("there is no table %d: porthub tables list shows the tables in use", table)
}

// findVersion returns a version of a table. 0 selects the last version.
func findVersion(table daemon.TableVersions, version uint64) (daemon.TableVersion, error) {
	if version == 0 && len(table.Versions) > 0 {
		return table.Versions[len(table.Versions)-1], nil
	}
	for _, v := range table.Versions {
		if uint64(v.Version) == version {
			return v, nil
		}
	}
	return daemon.TableVersion{}, fmt.Errorf("table %d has no version %d in its history", table.Table, version)
}

func tablesShowCommand(addr *string) *cobra.Command {
	var table int
	var version uint64
	cmd := &cobra.Command{
		Use:     "show",
		Short:   "Show the weights of a version of a table",
		Args:    cobra.NoArgs,
		Example: "  porthub tables show --table 4 --version 17",
		RunE: func(cmd *cobra.Command, _ []string) error {
			versions, t, err := findTable(cmd, *addr, table)
			if err != nil {
				return err
			}
			v, err := findVersion(t, version)
			if err != nil {
				return err
			}
			return printVersion(cmd.OutOrStdout(), versions, t, v)
		},
	}
	cmd.Flags().IntVar(&table, "table", 0, "number of the table")
	cmd.Flags().Uint64Var(&version, "version", 0, "version to show; 0: the last")
	return cmd
}

func printVersion(out io.Writer, versions daemon.Versions, t daemon.TableVersions, v daemon.TableVersion) error {
	table := newTable(out)
	fmt.Fprintf(table, "table %d, version %d, from %s ago\n", t.Table, v.Version, age(versions.Now, v.At))
	printWeights(table, v.Endpoints)
	for _, class := range slices.Sorted(maps.Keys(v.Overrides)) {
		fmt.Fprintf(table, "for %s the weight solver replaced it by\n", class)
		printWeights(table, v.Overrides[class])
	}
	return table.Flush()
}

func printWeights(out io.Writer, weights []routing.EndpointWeight) {
	for _, w := range weights {
		fmt.Fprintf(out, "%s\t%.4g\n", w.Endpoint, w.Weight)
	}
}

func tablesDiffCommand(addr *string) *cobra.Command {
	var table int
	var from, to uint64
	cmd := &cobra.Command{
		Use:     "diff",
		Short:   "Show what changed between two versions of a table",
		Args:    cobra.NoArgs,
		Example: "  porthub tables diff --table 4 --from 17 --to 19",
		RunE: func(cmd *cobra.Command, _ []string) error {
			_, t, err := findTable(cmd, *addr, table)
			if err != nil {
				return err
			}
			before, err := findVersion(t, from)
			if err != nil {
				return err
			}
			after, err := findVersion(t, to)
			if err != nil {
				return err
			}
			printVersionDiff(cmd.OutOrStdout(), before, after)
			return nil
		},
	}
	cmd.Flags().IntVar(&table, "table", 0, "number of the table")
	cmd.Flags().Uint64Var(&from, "from", 0, "version to compare from; 0: the last")
	cmd.Flags().Uint64Var(&to, "to", 0, "version to compare to; 0: the last")
	return cmd
}

// printVersionDiff prints the differences between two versions of a table, and those of each class whose weights the weight
// solver overrode in at least one of them.
func printVersionDiff(out io.Writer, before, after daemon.TableVersion) {
	printDiff(out, before.Endpoints, after.Endpoints)
	classes := map[string]bool{}
	for _, version := range []daemon.TableVersion{before, after} {
		for class := range version.Overrides {
			classes[class] = true
		}
	}
	for _, class := range slices.Sorted(maps.Keys(classes)) {
		fmt.Fprintf(out, "for %s, the weights with the weight solver's overrides\n", class)
		printDiff(out, classWeights(before, class), classWeights(after, class))
	}
}

// classWeights returns the weights of a class in a version: the weight solver's overrides, or else the table's weights.
func classWeights(v daemon.TableVersion, class string) []routing.EndpointWeight {
	if weights, ok := v.Overrides[class]; ok {
		return weights
	}
	return v.Endpoints
}

func printDiff(out io.Writer, from, to []routing.EndpointWeight) {
	before := weightsOf(from)
	diff := routing.Diff(routing.State{}.With(before), routing.State{}.With(weightsOf(to)))
	for _, set := range diff.Set {
		if weight, ok := before[set.Endpoint]; ok {
			fmt.Fprintf(out, "~ %s %.4g -> %.4g\n", set.Endpoint, weight, set.Weight)
		} else {
			fmt.Fprintf(out, "+ %s %.4g\n", set.Endpoint, set.Weight)
		}
	}
	for _, endpoint := range diff.Removed {
		fmt.Fprintf(out, "- %s %.4g\n", endpoint, before[endpoint])
	}
}

func weightsOf(endpoints []routing.EndpointWeight) routing.Weights {
	weights := routing.Weights{}
	for _, e := range endpoints {
		weights[e.Endpoint] = e.Weight
	}
	return weights
}
