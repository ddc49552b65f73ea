package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"porthub/daemon"
	"porthub/policyapi"
	"porthub/routing"
)

// call sends a request to a coordinator and reads its answer.
func call(cmd *cobra.Command, addr, path string, body, into any) error {
	ctx, cancel := context.WithTimeout(cmd.Context(), 5*time.Second)
	defer cancel()
	method, text := http.MethodGet, []byte(nil)
	if body != nil {
		var err error
		if text, err = json.Marshal(body); err != nil {
			return err
		}
		method = http.MethodPost
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(text))
	if err != nil {
		return err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("%w: is a coordinator running at %s? %w", daemon.ErrEnvironment, addr, err)
	}
	defer res.Body.Close()
	answer, err := io.ReadAll(res.Body)
	if err != nil {
		return err
	}
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("the coordinator answered %s: %s", res.Status, bytes.TrimSpace(answer))
	}
	return json.Unmarshal(answer, into)
}

// versionCommands are the sub-commands of tables that go back in time.
func versionCommands(addr *string) []*cobra.Command {
	var (
		table         int
		zone, reason  string
		fleet         bool
		version       uint64
		ago           time.Duration
		from, to      uint64
		versionsTable int
	)
	find := func(cmd *cobra.Command, t int) (daemon.Versions, daemon.TableVersions, error) {
		var v daemon.Versions
		if err := call(cmd, *addr, "/tables/versions", nil, &v); err != nil {
			return v, daemon.TableVersions{}, err
		}
		for _, one := range v.Tables {
			if int(one.Table) == t {
				return v, one, nil
			}
		}
		return v, daemon.TableVersions{}, fmt.Errorf("there is no table %d: porthub tables list names those that are in use", t)
	}
	get := func(t daemon.TableVersions, n uint64) (daemon.TableVersion, error) {
		if n == 0 && len(t.Versions) > 0 {
			return t.Versions[len(t.Versions)-1], nil
		}
		for _, v := range t.Versions {
			if uint64(v.Version) == n {
				return v, nil
			}
		}
		return daemon.TableVersion{}, fmt.Errorf("table %d keeps no version %d", t.Table, n)
	}
	list := &cobra.Command{Use: "list", Short: "List tables with their versions, and pins", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var v daemon.Versions
			if err := call(cmd, *addr, "/tables/versions", nil, &v); err != nil {
				return err
			}
			w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 4, 2, ' ', 0)
			fmt.Fprintln(w, "TABLE\tZONE\tGATEWAYS\tVERSIONS\tLAST\tAGE\tLINES")
			for _, t := range v.Tables {
				last := t.Versions[len(t.Versions)-1]
				fmt.Fprintf(w, "%d\t%s\t%d\t%d\t%d\t%s\t%d\n", t.Table, orDash(string(t.Zone)), t.Gateways, len(t.Versions), last.Version,
					age(v.Now, last.At), len(last.Endpoints))
			}
			fmt.Fprintln(w, "\nPIN\tOF\tHOLDS\tSINCE\tREASON")
			for _, p := range v.Pins {
				holds := fmt.Sprintf("version %d", p.Version)
				if p.Version == 0 {
					holds = "as " + age(v.Now, p.At) + " ago"
				}
				fmt.Fprintf(w, "%d\t%s\t%s\t%s ago\t%s\n", p.ID, p.Scope, holds, age(v.Now, p.PinnedAt), p.Reason)
			}
			return w.Flush()
		}}
	show := &cobra.Command{Use: "show", Short: "Show the lines of a version of a table", Args: cobra.NoArgs,
		Example: "  porthub tables show --table 4 --version 17",
		RunE: func(cmd *cobra.Command, _ []string) error {
			v, t, err := find(cmd, versionsTable)
			if err != nil {
				return err
			}
			of, err := get(t, version)
			if err != nil {
				return err
			}
			w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 4, 2, ' ', 0)
			fmt.Fprintf(w, "table %d, version %d, from %s ago\n", t.Table, of.Version, age(v.Now, of.At))
			for _, l := range of.Endpoints {
				fmt.Fprintf(w, "%s\t%.4g\n", l.Endpoint, l.Weight)
			}
			for _, kind := range slices.Sorted(maps.Keys(of.Overrides)) {
				fmt.Fprintf(w, "for %s the weight solver had in its place\n", kind)
				for _, l := range of.Overrides[kind] {
					fmt.Fprintf(w, "%s\t%.4g\n", l.Endpoint, l.Weight)
				}
			}
			return w.Flush()
		}}
	diff := &cobra.Command{Use: "diff", Short: "Show what changed between two versions of a table", Args: cobra.NoArgs,
		Example: "  porthub tables diff --table 4 --from 17 --to 19",
		RunE: func(cmd *cobra.Command, _ []string) error {
			_, t, err := find(cmd, versionsTable)
			if err != nil {
				return err
			}
			a, err := get(t, from)
			if err != nil {
				return err
			}
			b, err := get(t, to)
			if err != nil {
				return err
			}
			out := cmd.OutOrStdout()
			printDiff(out, a.Endpoints, b.Endpoints)
			kinds := maps.Clone(a.Overrides)
			if kinds == nil {
				kinds = map[string][]routing.EndpointWeight{}
			}
			maps.Copy(kinds, b.Overrides)
			for _, kind := range slices.Sorted(maps.Keys(kinds)) {
				fmt.Fprintf(out, "for %s, what gateways were to hold by the weight solver\n", kind)
				printDiff(out, of(a, kind), of(b, kind))
			}
			return nil
		}}
	scoped := func(cmd *cobra.Command) (daemon.PinRequest, error) {
		r := daemon.PinRequest{Zone: policyapi.Zone(zone), Fleet: fleet, Reason: reason}
		if cmd.Flags().Changed("table") {
			t := policyapi.TableID(table)
			r.Table = &t
		}
		said := 0
		for _, is := range []bool{r.Table != nil, zone != "", fleet} {
			if is {
				said++
			}
		}
		if said != 1 {
			return r, errors.New("say what, one of: --table N, --zone ZONE, --fleet")
		}
		return r, nil
	}
	send := func(cmd *cobra.Command, path string, body any) error {
		var o daemon.PinAnswer
		if err := call(cmd, *addr, path, body, &o); err != nil {
			return err
		}
		if o.Error != "" {
			return errors.New(o.Error)
		}
		fmt.Fprintf(cmd.OutOrStdout(), "pin %d of %s: %s\n", o.Pin.ID, o.Pin.Scope, o.Pin.Reason)
		return nil
	}
	pin := &cobra.Command{Use: "pin", Short: "Hold a table, a zone's tables or the fleet's at what is in force now", Args: cobra.NoArgs,
		Example: `  porthub tables pin --fleet --reason "rate decision at noon"`,
		RunE: func(cmd *cobra.Command, _ []string) error {
			r, err := scoped(cmd)
			if err != nil {
				return err
			}
			return send(cmd, "/tables/pin", r)
		}}
	rollback := &cobra.Command{Use: "rollback", Short: "Hold them at an earlier state; the rules mask it", Args: cobra.NoArgs,
		Example: `  porthub tables rollback --table 4 --version 17 --reason "worse since"
  porthub tables rollback --fleet --ago 10m --reason "worse since"`,
		RunE: func(cmd *cobra.Command, _ []string) error {
			r, err := scoped(cmd)
			if err != nil {
				return err
			}
			if (version == 0) == (ago == 0) {
				return errors.New("say to when: --version N of a table, or --ago TIME")
			}
			r.Version, r.Ago = routing.Version(version), policyapi.Microseconds(ago.Microseconds())
			return send(cmd, "/tables/pin", r)
		}}
	unpin := &cobra.Command{Use: "unpin PIN", Short: "Let a pin go", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var id int
			if _, err := fmt.Sscan(args[0], &id); err != nil {
				return fmt.Errorf("%q is no pin's number: porthub tables list names them", args[0])
			}
			return send(cmd, "/tables/unpin", daemon.UnpinRequest{ID: id, Reason: reason})
		}}
	for _, c := range []*cobra.Command{show, diff} {
		c.Flags().IntVar(&versionsTable, "table", 0, "which table")
	}
	show.Flags().Uint64Var(&version, "version", 0, "which version; 0: the last")
	diff.Flags().Uint64Var(&from, "from", 0, "version; 0: the last")
	diff.Flags().Uint64Var(&to, "to", 0, "version; 0: the last")
	for _, c := range []*cobra.Command{pin, rollback} {
		c.Flags().IntVar(&table, "table", 0, "one table")
		c.Flags().StringVar(&zone, "zone", "", "all tables of a zone's gateways")
		c.Flags().BoolVar(&fleet, "fleet", false, "all tables")
	}
	for _, c := range []*cobra.Command{pin, rollback, unpin} {
		c.Flags().StringVar(&reason, "reason", "", "goes into the log")
		_ = c.MarkFlagRequired("reason")
	}
	rollback.Flags().Uint64Var(&version, "version", 0, "version of the table")
	rollback.Flags().DurationVar(&ago, "ago", 0, "as it was so long ago")
	return []*cobra.Command{list, show, diff, pin, rollback, unpin}
}

// of is what a version had for a kind.
func of(v daemon.TableVersion, kind string) []routing.EndpointWeight {
	if lines, acts := v.Overrides[kind]; acts {
		return lines
	}
	return v.Endpoints
}

func printDiff(out io.Writer, from, to []routing.EndpointWeight) {
	before := weights(from)
	d := routing.Diff(routing.State{}.With(before), routing.State{}.With(weights(to)))
	for _, l := range d.Set {
		if old, had := before[l.Endpoint]; had {
			fmt.Fprintf(out, "~ %s %.4g -> %.4g\n", l.Endpoint, old, l.Weight)
		} else {
			fmt.Fprintf(out, "+ %s %.4g\n", l.Endpoint, l.Weight)
		}
	}
	for _, be := range d.Removed {
		fmt.Fprintf(out, "- %s %.4g\n", be, before[be])
	}
}

func weights(lines []routing.EndpointWeight) routing.Weights {
	w := routing.Weights{}
	for _, l := range lines {
		w[l.Endpoint] = l.Weight
	}
	return w
}

func age(now, at policyapi.Microseconds) string {
	return (time.Duration(now-at) * time.Microsecond).Round(100 * time.Millisecond).String()
}
