package main

import (
	"fmt"
	"io"
	"os"
	"slices"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"porthub/audit"
	"porthub/chaos"
	"porthub/daemon"
)

const (
	defaultScenario     = "bad-day" // runs if no scenario is named
	loadReportsScenario = "intake"  // the load reports of lightweight gateways; it has no scenario file
)

// chaosFlags holds the flags of the chaos command.
type chaosFlags struct {
	options     chaos.Options
	loadReports chaos.LoadReportOptions
	seconds     int
	registry    string
	endpoints   int
	openPolls   int
	asJSON      bool
	list        bool
}

func chaosCommand() *cobra.Command {
	flags := &chaosFlags{}
	cmd := &cobra.Command{
		Use:     "chaos [SCENARIO]",
		Aliases: []string{"drill"},
		Short:   "Inject faults into an emulated fleet on loopback and audit the five rules at the sockets",
		Long: `chaos runs emulated endpoints, gateways and clients in this process and a coordinator in a process of its own, injects
the scenario's faults, and audits the rules from the traffic on the sockets. SCENARIO is a built-in one (--list),
only:FAULT for a single fault, or a file. The default is bad-day.`,
		Example: `  porthub chaos
  porthub chaos --seed 7 --json
  porthub chaos only:zone_loss
  porthub chaos --break-rule drain   # must exit 1 and name that rule`,
		Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error { return flags.run(cmd, args) },
	}
	flags.register(cmd)
	return cmd
}

func (f *chaosFlags) register(cmd *cobra.Command) {
	set := cmd.Flags()
	set.Uint64Var(&f.options.Seed, "seed", 1, "seed of all random draws")
	set.IntVar(&f.seconds, "seconds", 0, "duration in seconds; 0: the scenario's own")
	set.StringVar(&f.options.Delivery, "front", "files", "delivery of tables to gateways: files, poll (long polls with deltas) or both (gateways alternate)")
	set.StringVar(&f.options.BreakRule, "break-rule", "", "inject a violation of this rule, which the audit must report")
	outputFlag(cmd, &f.asJSON)
	set.BoolVar(&f.list, "list", false, "list scenarios and faults")
	set.BoolVar(&f.options.Baselines, "baselines", true, "also run the baselines, with the same seed")
	set.StringVar(&f.registry, "source", "", "source of the endpoint list: file or eureka; empty: the scenario's own")
	set.BoolVar(&f.options.NoRecovery, "no-recovery", false, "a restarted coordinator restores only the endpoint list")
	set.BoolVar(&f.options.NoSolver, "no-solver", false, "publish the decision module's tables without the weight solver")
	set.IntVar(&f.loadReports.Gateways, "gateways", 1000, "with intake: number of lightweight gateways")
	set.IntVar(&f.loadReports.MaxLinesPerSecond, "bound", 300000, "with intake: load report lines accepted per second; 0: unlimited")
	set.IntVar(&f.loadReports.CoordinatorCores, "procs", 0, "with intake: number of cores the coordinator may use; 0: all")
	set.BoolVar(&f.loadReports.NoFaults, "calm", false, "with intake: no faults")
	set.StringVar(&f.loadReports.CPUProfile, "cpu-profile", "", "with intake: write the coordinator's CPU profile to this file")
	set.IntVar(&f.endpoints, "nodes", 100, "with intake and --held-polls: number of endpoints")
	set.IntVar(&f.openPolls, "held-polls", 0, "measure long polls in place of a scenario: number of gateways, each with two open polls, that are all answered at once")
	set.StringVar(&f.options.Levels, "levels", "named", "service levels: named (as in the scenario), plain (the decision module's admission control only) or off")
	set.StringVar(&f.options.Dir, "keep", "", "use this directory and keep files and logs in it")
}

func (f *chaosFlags) run(cmd *cobra.Command, args []string) error {
	if f.list {
		return listScenarios(cmd.OutOrStdout())
	}
	if f.openPolls > 0 {
		return f.runPolls(cmd.OutOrStdout())
	}
	name := defaultScenario
	if len(args) > 0 {
		name = args[0]
	}
	if name == loadReportsScenario {
		return f.runLoadReports(cmd.OutOrStdout())
	}
	return f.runScenario(cmd, name)
}

func listScenarios(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	names, about := chaos.List()
	for i, name := range names {
		fmt.Fprintf(table, "%s\t%s\n", name, about[i])
	}
	for _, fault := range chaos.FaultNames() {
		fmt.Fprintf(table, "only:%s\t%s\n", fault, chaos.DescribeFault(fault))
	}
	fmt.Fprintf(table, "%s\tload reports of thousands of lightweight gateways while faults are injected: --gateways, --bound, --procs, --calm\n", loadReportsScenario)
	return table.Flush()
}

// selfCommand returns the command line of this program, which chaos runs start as the coordinator.
func selfCommand() ([]string, error) {
	path, err := os.Executable()
	if err != nil {
		return nil, fmt.Errorf("%w: %w", daemon.ErrEnvironment, err)
	}
	return []string{path}, nil
}

func (f *chaosFlags) runPolls(out io.Writer) error {
	command, err := selfCommand()
	if err != nil {
		return err
	}
	result, err := chaos.RunPolls(command, f.openPolls, f.endpoints)
	if err != nil {
		return fmt.Errorf("%w: %w", daemon.ErrEnvironment, err)
	}
	return printJSON(out, result)
}

func (f *chaosFlags) runLoadReports(out io.Writer) error {
	command, err := selfCommand()
	if err != nil {
		return err
	}
	options := f.loadReports
	if options.Gateways < 9 || options.Gateways > 15000 || options.MaxLinesPerSecond < 0 || options.CoordinatorCores < 0 || f.endpoints < 9 || f.endpoints > 2000 {
		return fmt.Errorf("intake requires 9 to 15000 --gateways, 9 to 2000 --nodes, and --bound and --procs of 0 or more: got %d, %d, %d and %d",
			options.Gateways, f.endpoints, options.MaxLinesPerSecond, options.CoordinatorCores)
	}
	rule := f.options.BreakRule
	if rule == audit.Queue || !isRule(rule) {
		return fmt.Errorf("--break-rule %q: with intake it must be one of bare, repeat, drain, cold", rule)
	}
	options.Command = command
	options.Seed = f.options.Seed
	options.Endpoints = f.endpoints
	options.BreakRule = rule
	options.Dir = f.options.Dir
	options.Seconds = f.seconds
	if f.seconds == 0 {
		options.Seconds = 60
	}
	result, err := chaos.RunLoadReports(options)
	if err != nil {
		return fmt.Errorf("%w: %w", daemon.ErrEnvironment, err)
	}
	if err := printJSON(out, result); err != nil {
		return err
	}
	if !result.Passed() {
		return errCheckFailed
	}
	return nil
}

// isRule reports whether a value of --break-rule is valid: the name of a rule, or empty to break none.
func isRule(rule string) bool { return rule == "" || slices.Contains(audit.Rules, rule) }

func (f *chaosFlags) runScenario(cmd *cobra.Command, name string) error {
	scenario, err := chaos.Load(name)
	if err != nil {
		return err
	}
	if err := f.validate(); err != nil {
		return err
	}
	if f.registry != "" {
		scenario.Registry = f.registry
	}
	if f.seconds > 0 {
		scenario.Seconds = f.seconds
	}
	options := f.options
	options.Command, err = selfCommand()
	if err != nil {
		return err
	}
	if !f.asJSON {
		options.Progress = cmd.ErrOrStderr()
	}
	result, err := chaos.Run(scenario, options)
	if err != nil {
		return fmt.Errorf("%w: %w", daemon.ErrEnvironment, err)
	}
	if f.asJSON {
		err = printJSON(cmd.OutOrStdout(), result)
	} else {
		err = printChaosResult(cmd.OutOrStdout(), scenario, result)
	}
	if err == nil && !result.Passed() {
		return errCheckFailed
	}
	return err
}

// validate checks the flags that apply to scenarios other than intake.
func (f *chaosFlags) validate() error {
	if !slices.Contains([]string{"files", "poll", "both"}, f.options.Delivery) {
		return fmt.Errorf("--front %q: it must be files, poll or both", f.options.Delivery)
	}
	if !isRule(f.options.BreakRule) {
		return fmt.Errorf("--break-rule %q: it must be one of %v", f.options.BreakRule, audit.Rules)
	}
	if !slices.Contains([]string{"", "file", "eureka"}, f.registry) {
		return fmt.Errorf("--source %q: it must be file or eureka", f.registry)
	}
	if !slices.Contains([]string{"named", "plain", "off"}, f.options.Levels) {
		return fmt.Errorf("--levels %q: it must be named, plain or off", f.options.Levels)
	}
	return nil
}
