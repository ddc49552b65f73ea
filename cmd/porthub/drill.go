package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"porthub/audit"
	"porthub/daemon"
	"porthub/drill"
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
		reporting    int
		bound, procs int
		held, nodes  int
		keep         string
		profile      string
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
				names, about := drill.List()
				w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 4, 2, ' ', 0)
				for i, n := range names {
					fmt.Fprintf(w, "%s\t%s\n", n, about[i])
				}
				for _, t := range drill.Troubles() {
					fmt.Fprintf(w, "only:%s\t%s\n", t, drill.About(t))
				}
				return w.Flush()
			}
			if held > 0 {
				exe, err := os.Executable()
				if err != nil {
					return fmt.Errorf("%w: %w", daemon.ErrEnvironment, err)
				}
				m, err := drill.MeasurePolls([]string{exe}, held, nodes)
				if err != nil {
					return fmt.Errorf("%w: %w", daemon.ErrEnvironment, err)
				}
				return printAny(cmd.OutOrStdout(), m)
			}
			if reporting > 0 {
				exe, err := os.Executable()
				if err != nil {
					return fmt.Errorf("%w: %w", daemon.ErrEnvironment, err)
				}
				m, err := drill.MeasureIntake(drill.IntakeOptions{Exe: []string{exe}, Gateways: reporting, Nodes: max(nodes, 100), Bound: bound,
					Seconds: max(seconds, 10), Procs: procs, Profile: profile})
				if err != nil {
					return fmt.Errorf("%w: %w", daemon.ErrEnvironment, err)
				}
				return printAny(cmd.OutOrStdout(), m)
			}
			name := "bad-day"
			if len(args) > 0 {
				name = args[0]
			}
			s, err := drill.Load(name)
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
			o := drill.Options{Seed: seed, Exe: []string{exe}, Front: front, BreakRule: rule, Baselines: baselines, NoSolver: noSolver, Forgets: forgets, Dir: keep}
			if !asJSON {
				o.Progress = cmd.ErrOrStderr()
			}
			r, err := drill.Run(s, o)
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
			if err == nil && !r.Held() {
				return errNotHeld
			}
			return err
		},
	}
	cmd.Flags().Uint64Var(&seed, "seed", 1, "of all chance")
	cmd.Flags().IntVar(&seconds, "seconds", 0, "length; 0: the scenario's own")
	cmd.Flags().StringVar(&front, "front", "files", "how tables reach gateways: files, poll (long polls, by deltas) or both (gateways take turns)")
	cmd.Flags().StringVar(&rule, "break-rule", "", "spoil one thing on the way so that this rule must be found broken")
	cmd.Flags().BoolVar(&asJSON, "json", false, "print one JSON object")
	cmd.Flags().BoolVar(&list, "list", false, "list scenarios and troubles")
	cmd.Flags().BoolVar(&baselines, "baselines", true, "run the baselines beside it, same seed")
	cmd.Flags().StringVar(&source, "source", "", "where the node list comes from: file or eureka; empty: as the scenario has it")
	cmd.Flags().BoolVar(&forgets, "no-recovery", false, "a restarted coordinator believes nothing of the time before but the list")
	cmd.Flags().BoolVar(&noSolver, "no-solver", false, "let the module's tables pass as they are")
	cmd.Flags().IntVar(&reporting, "reporting", 0, "measure instead: so many gateways report on a known traffic each second")
	cmd.Flags().IntVar(&bound, "bound", 300000, "with --reporting: lines that are taken in a second; 0: all")
	cmd.Flags().IntVar(&procs, "procs", 0, "with --reporting: cores that the coordinator may use; 0: all")
	cmd.Flags().StringVar(&profile, "cpu-profile", "", "with --reporting: write the coordinator's CPU profile to this file")
	cmd.Flags().IntVar(&nodes, "nodes", 18, "calc nodes in the list that --held-polls drains one of")
	cmd.Flags().IntVar(&held, "held-polls", 0, "measure instead: so many gateways with two held polls each are woken at once")
	cmd.Flags().StringVar(&keep, "keep", "", "use this folder and leave files and logs there")
	return cmd
}

func printDrill(out io.Writer, s drill.Scenario, r drill.Result) error {
	fmt.Fprintf(out, "%s, seed %d: %d reqs in %d s, service %.3f, worst 10 s %.3f\n\n", r.Scenario, r.Seed, r.Requests, s.Seconds, r.Service, r.Worst10s)
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprint(w, "service")
	for _, z := range s.Zones {
		fmt.Fprintf(w, "\t%s", z)
	}
	fmt.Fprintln(w)
	for _, k := range s.Kinds {
		fmt.Fprint(w, k.Name)
		for _, z := range s.Zones {
			fmt.Fprintf(w, "\t%.3f", r.Cells[k.Name+"@"+z])
		}
		fmt.Fprintln(w)
	}
	fmt.Fprintln(w, "\nrule\tkept\tnearest\twhere")
	for _, rule := range audit.Rules {
		v := r.Rules[rule]
		fmt.Fprintf(w, "%s\t%v\t%.0f%%\t%s\n", rule, v.Kept, 100*v.Nearest, v.Where)
	}
	if len(r.Baselines) > 0 {
		fmt.Fprintln(w, "\nbaseline\tservice\tworst 10 s\tbroke")
		for _, name := range slices.Sorted(maps.Keys(r.Baselines)) {
			b := r.Baselines[name]
			var broke []string
			for _, rule := range audit.Rules {
				if !b.Rules[rule].Kept {
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
		r.Latency.P50, r.Latency.P99, r.Answers.P50, r.Answers.P99, r.Reads, r.Partial, r.CPU, r.PeakKiB/1024, r.StopMs,
		r.Written.Messages, r.Written.Files, r.Written.Bytes, r.Written.Steps.P50, r.Written.Steps.P99, r.Written.Steps.Most)
	return nil
}
