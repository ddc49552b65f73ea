package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"porthub/audit"
	"porthub/chaos"
	"porthub/daemon"
)

func drillCommand() *cobra.Command {
	var (
		seed         uint64
		seconds      int
		front, rule  string
		asJSON, list bool
		baselines    bool
		noSolver     bool
		forgets      bool
		source       string
		storm        chaos.LoadReportOptions
		held, nodes  int
		keep, levels string
	)
	cmd := &cobra.Command{
		Use:   "drill [SCENARIO]",
		Short: "Stage a bad day on loopback and judge the five rules from the sockets",
		Long: `drill runs stand-in calc nodes, gateways and clients in this process and a coordinator in a process of its own, lets
the scenario's troubles strike, and judges the rules from what passed over the sockets. SCENARIO is a built-in one
(--list), only:TROUBLE for one trouble alone, or a file. Without one it is the bad day.`,
		Example: `  porthub drill
  porthub drill --seed 7 --json
  porthub drill only:zone_loss
  porthub drill --break-rule drain   # must exit 1 and name that rule`,
		Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if list {
				names, about := chaos.List()
				w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 4, 2, ' ', 0)
				for i, n := range names {
					fmt.Fprintf(w, "%s\t%s\n", n, about[i])
				}
				for _, t := range chaos.FaultNames() {
					fmt.Fprintf(w, "only:%s\t%s\n", t, chaos.About(t))
				}
				fmt.Fprintln(w, "intake\tlight gateways by the thousand report while a storm passes: --gateways, --bound, --procs, --calm")
				return w.Flush()
			}
			if held > 0 {
				exe, err := os.Executable()
				if err != nil {
					return fmt.Errorf("%w: %w", daemon.ErrEnvironment, err)
				}
				m, err := chaos.RunPolls([]string{exe}, held, nodes)
				if err != nil {
					return fmt.Errorf("%w: %w", daemon.ErrEnvironment, err)
				}
				return printAny(cmd.OutOrStdout(), m)
			}
			name := "bad-day"
			if len(args) > 0 {
				name = args[0]
			}
			if name == "intake" {
				exe, err := os.Executable()
				if err != nil {
					return fmt.Errorf("%w: %w", daemon.ErrEnvironment, err)
				}
				if storm.Gateways < 9 || storm.Gateways > 15000 || storm.MaxLinesPerSecond < 0 || storm.CoordinatorCores < 0 || nodes < 9 || nodes > 2000 {
					return errors.New("intake takes 9 to 15000 --gateways, 9 to 2000 --nodes, and --bound and --procs of 0 or more")
				}
				if rule == audit.Queue || rule != "" && !slices.Contains(audit.Rules, rule) {
					return fmt.Errorf("--break-rule %q: with intake it must be one of bare, repeat, drain, cold", rule)
				}
				storm.Command, storm.Seed, storm.Endpoints, storm.BreakRule, storm.Dir = []string{exe}, seed, nodes, rule, keep
				if storm.Seconds = seconds; seconds == 0 {
					storm.Seconds = 60
				}
				m, err := chaos.RunLoadReports(storm)
				if err != nil {
					return fmt.Errorf("%w: %w", daemon.ErrEnvironment, err)
				}
				if err := printAny(cmd.OutOrStdout(), m); err != nil {
					return err
				}
				if !m.Passed() {
					return errNotHeld
				}
				return nil
			}
			s, err := chaos.Load(name)
			if err != nil {
				return err
			}
			if front != "files" && front != "poll" && front != "both" {
				return fmt.Errorf("--front %q: it must be files, poll or both", front)
			}
			if rule != "" && !slices.Contains(audit.Rules, rule) {
				return fmt.Errorf("--break-rule %q: it must be one of %v", rule, audit.Rules)
			}
			if source != "" {
				if source != "file" && source != "eureka" {
					return fmt.Errorf("--source %q: it must be file or eureka", source)
				}
				s.Registry = source
			}
			if seconds > 0 {
				s.Seconds = seconds
			}
			exe, err := os.Executable()
			if err != nil {
				return fmt.Errorf("%w: %w", daemon.ErrEnvironment, err)
			}
			o := chaos.Options{Seed: seed, Command: []string{exe}, Front: front, BreakRule: rule, Baselines: baselines, NoSolver: noSolver, NoRecovery: forgets, Dir: keep, Levels: levels}
			if levels != "named" && levels != "plain" && levels != "off" {
				return fmt.Errorf("--levels %q: it must be named, plain or off", levels)
			}
			if !asJSON {
				o.Progress = cmd.ErrOrStderr()
			}
			r, err := chaos.Run(s, o)
			if err != nil {
				return fmt.Errorf("%w: %w", daemon.ErrEnvironment, err)
			}
			if asJSON {
				e := json.NewEncoder(cmd.OutOrStdout())
				e.SetIndent("", "  ")
				err = e.Encode(r)
			} else {
				err = printDrill(cmd.OutOrStdout(), s, r)
			}
			if err == nil && !r.Passed() {
				return errNotHeld
			}
			return err
		},
	}
	cmd.Flags().Uint64Var(&seed, "seed", 1, "of all chance")
	cmd.Flags().IntVar(&seconds, "seconds", 0, "length; 0: the scenario's own")
	cmd.Flags().StringVar(&front, "front", "files", "how tables reach gateways: files, poll (long polls, by deltas) or both (gateways take turns)")
	cmd.Flags().StringVar(&rule, "break-rule", "", "spoil one thing on the way so that this rule must be found broken")
	outputFlag(cmd, &asJSON)
	cmd.Flags().BoolVar(&list, "list", false, "list scenarios and troubles")
	cmd.Flags().BoolVar(&baselines, "baselines", true, "run the baselines beside it, same seed")
	cmd.Flags().StringVar(&source, "source", "", "where the node list comes from: file or eureka; empty: as the scenario has it")
	cmd.Flags().BoolVar(&forgets, "no-recovery", false, "a restarted coordinator believes nothing of the time before but the list")
	cmd.Flags().BoolVar(&noSolver, "no-solver", false, "let the module's tables pass as they are")
	cmd.Flags().IntVar(&storm.Gateways, "gateways", 1000, "with intake: light gateways")
	cmd.Flags().IntVar(&storm.MaxLinesPerSecond, "bound", 300000, "with intake: lines of reports that are taken in a second; 0: all")
	cmd.Flags().IntVar(&storm.CoordinatorCores, "procs", 0, "with intake: cores that the coordinator may use; 0: all")
	cmd.Flags().BoolVar(&storm.NoFaults, "calm", false, "with intake: nothing befalls the fleet")
	cmd.Flags().StringVar(&storm.Profile, "cpu-profile", "", "with intake: write the coordinator's CPU profile to this file")
	cmd.Flags().IntVar(&nodes, "nodes", 100, "with intake and --held-polls: calc nodes")
	cmd.Flags().IntVar(&held, "held-polls", 0, "measure instead: so many gateways with two held polls each are woken at once")
	cmd.Flags().StringVar(&levels, "levels", "named", "levels of service: named (as the scenario has them), plain (the module's admission alone) or off")
	cmd.Flags().StringVar(&keep, "keep", "", "use this folder and leave files and logs there")
	return cmd
}

func printDrill(out io.Writer, s chaos.Scenario, r chaos.Result) error {
	fmt.Fprintf(out, "%s, seed %d: %d reqs in %d s, service %.3f, worst 10 s %.3f\n\n", r.Scenario, r.Seed, r.Requests, s.Seconds, r.Service, r.Worst10s)
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprint(w, "service")
	for _, z := range s.Zones {
		fmt.Fprintf(w, "\t%s", z)
	}
	fmt.Fprintln(w)
	for _, k := range s.Classes {
		fmt.Fprint(w, k.Name)
		for _, z := range s.Zones {
			fmt.Fprintf(w, "\t%.3f", r.Cells[k.Name+"@"+z])
		}
		fmt.Fprintln(w)
	}
	fmt.Fprintln(w, "\nrule\tkept\tnearest\twhere")
	for _, rule := range audit.Rules {
		v := r.Rules[rule]
		fmt.Fprintf(w, "%s\t%v\t%.0f%%\t%s\n", rule, v.Satisfied, 100*v.PeakUsage, v.Detail)
	}
	if len(r.Baselines) > 0 {
		fmt.Fprintln(w, "\nbaseline\tservice\tworst 10 s\tbroke")
		for _, name := range slices.Sorted(maps.Keys(r.Baselines)) {
			b := r.Baselines[name]
			var broke []string
			for _, rule := range audit.Rules {
				if !b.Rules[rule].Satisfied {
					broke = append(broke, rule)
				}
			}
			fmt.Fprintf(w, "%s\t%.3f\t%.3f\t%v\n", name, b.Service, b.Worst10s, broke)
		}
	}
	fmt.Fprintln(w, "\ncheck\tok\tfigure")
	for _, c := range r.Checks {
		fmt.Fprintf(w, "%s\t%v\t%.3f\n", c.Name, c.OK, c.Figure)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(out, "\nfile to effect p50 %.1f ms, p99 %.1f ms; answers p50 %.0f ms, p99 %.0f ms; %d files read whole, %d not; coordinator CPU %.2f s, peak %d MiB, stopped in %.0f ms; since its last start %d messages, %d files, %d bytes, step p50 %d us, p99 %d us, most %d us\n",
		r.DeliveryTime.P50, r.DeliveryTime.P99, r.ResponseTime.P50, r.ResponseTime.P99, r.DocumentsRead, r.IncompleteReads, r.CPU, r.PeakKiB/1024, r.StopMilliseconds,
		r.Written.Messages, r.Written.Files, r.Written.Bytes, r.Written.Steps.P50, r.Written.Steps.P99, r.Written.Steps.Most)
	return nil
}
