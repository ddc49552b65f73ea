package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"porthub/config"
	"porthub/coordinator"
	"porthub/daemon"
	"porthub/degradation"
	"porthub/policyapi"
)

func levelsCommand() *cobra.Command {
	var addr string
	var asJSON bool
	cmd := &cobra.Command{Use: "levels", Short: "Show levels of service: now, since when, why, what would end them, who has them", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var l coordinator.DegradationStatus
			if err := call(cmd, addr, "/levels", nil, &l); err != nil {
				return err
			}
			if asJSON {
				return printJSON(cmd.OutOrStdout(), l)
			}
			return printLevels(cmd.OutOrStdout(), l)
		}}
	cmd.PersistentFlags().StringVar(&addr, "addr", "127.0.0.1:7070", "the coordinator's address")
	outputFlag(cmd, &asJSON)
	cmd.AddCommand(levelSetCommand(&addr), levelClearCommand(&addr), levelSimulateCommand())
	return cmd
}

func printLevels(out io.Writer, l coordinator.DegradationStatus) error {
	if len(l.Scopes) == 0 {
		fmt.Fprintln(out, "no levels are named: service.levels in the configuration")
		return nil
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "SCOPE\tLEVEL\tFOR\tWHY\tENDS\tGATEWAYS")
	for _, s := range l.Scopes {
		scope, since, held := string(s.Zone), "-", []string{}
		if s.Zone == degradation.FleetScope {
			scope = "fleet"
		}
		if s.Since > 0 {
			since = age(l.Now, s.Since)
		}
		for level, n := range l.Gateways[string(s.Zone)] {
			held = append(held, fmt.Sprintf("%d at %s", n, l.Levels[min(level, len(l.Levels)-1)]))
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", scope, s.Name, since, orDash(s.Reason), orDash(strings.Join(s.EndConditions, "; ")), orDash(strings.Join(held, ", ")))
	}
	fmt.Fprint(w, "\nFIGURE")
	for _, s := range l.Scopes {
		fmt.Fprintf(w, "\t%s", map[bool]string{true: "fleet", false: string(s.Zone)}[s.Zone == degradation.FleetScope])
	}
	fmt.Fprintln(w)
	for i, f := range l.Scopes[0].Signals {
		fmt.Fprint(w, f.Trigger)
		for _, s := range l.Scopes {
			if f := s.Signals[i]; f.Known {
				fmt.Fprintf(w, "\t%.2f", f.Value)
			} else {
				fmt.Fprint(w, "\t-")
			}
		}
		fmt.Fprintln(w)
	}
	fmt.Fprintln(w, "\nWORD\tDO\tSCOPE\tLEVEL\tENDS IN\tREASON")
	for _, x := range l.Overrides {
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\t%s\n", x.ID, x.Action, orDash(string(x.Zone)), l.Levels[x.Level], age(x.Until, l.Now), x.Reason)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if l.Disconnected > 0 {
		fmt.Fprintf(out, "%d gateways are away and go on by what they hold\n", l.Disconnected)
	}
	return nil
}

func levelSetCommand(addr *string) *cobra.Command {
	var (
		r      daemon.LevelRequest
		zone   string
		length time.Duration
		forbid bool
		hold   bool
	)
	cmd := &cobra.Command{Use: "set [LEVEL]", Short: "Force, forbid or hold a level until a time", Args: cobra.MaximumNArgs(1),
		Example: `  porthub levels set tight --for 30m --reason "rate decision at noon"
  porthub levels set hard --forbid --for 2h --reason "it has cost too much"
  porthub levels set --hold --zone hala-a --for 10m --reason "being looked at"`,
		RunE: func(cmd *cobra.Command, args []string) error {
			r.Action, r.Zone, r.Duration = degradation.ForceLevel, policyapi.Zone(zone), policyapi.Microseconds(length.Microseconds())
			switch {
			case forbid && hold:
				return errors.New("--forbid or --hold, not both")
			case forbid:
				r.Action = degradation.ForbidLevel
			case hold:
				r.Action = degradation.HoldLevel
			}
			if hold != (len(args) == 0) {
				return errors.New("name a level to force or forbid it; --hold takes none")
			}
			if len(args) > 0 {
				r.Level = args[0]
			}
			return sendLevel(cmd, *addr, "/levels/say", r)
		}}
	cmd.Flags().StringVar(&zone, "zone", "", "one zone; empty: the fleet")
	cmd.Flags().DurationVar(&length, "for", 0, "it ends by itself after so long, a day at most")
	cmd.Flags().BoolVar(&forbid, "forbid", false, "this level and severer ones are not entered")
	cmd.Flags().BoolVar(&hold, "hold", false, "the level of now stays")
	cmd.Flags().StringVar(&r.Reason, "reason", "", "goes into the log")
	_ = cmd.MarkFlagRequired("reason")
	_ = cmd.MarkFlagRequired("for")
	return cmd
}

func levelClearCommand(addr *string) *cobra.Command {
	var r daemon.ClearLevelRequest
	cmd := &cobra.Command{Use: "clear WORD", Short: "Take a word back", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if _, err := fmt.Sscan(args[0], &r.ID); err != nil {
				return fmt.Errorf("%q is no word's number: porthub levels lists them", args[0])
			}
			return sendLevel(cmd, *addr, "/levels/unsay", r)
		}}
	cmd.Flags().StringVar(&r.Reason, "reason", "", "goes into the log")
	_ = cmd.MarkFlagRequired("reason")
	return cmd
}

func sendLevel(cmd *cobra.Command, addr, path string, body any) error {
	var a daemon.LevelAnswer
	if err := call(cmd, addr, path, body, &a); err != nil {
		return err
	}
	if a.Error != "" {
		return errors.New(a.Error)
	}
	fmt.Fprintf(cmd.OutOrStdout(), "word %d: %s in %q: %s\n", a.Override.ID, a.Override.Action, a.Override.Zone, a.Override.Reason)
	return nil
}

// signalLine is one line of a recorded course: what is left out is not known.
type signalLine struct {
	At          float64  `json:"at_s"`
	Zone        string   `json:"zone"` // empty: the fleet
	Load        *float64 `json:"load"`
	Lost        *float64 `json:"lost"`
	Unreachable *float64 `json:"unreachable"`
	Shed        *float64 `json:"shed"`
	Behind      *float64 `json:"behind"`
}

func levelSimulateCommand() *cobra.Command {
	var path string
	cmd := &cobra.Command{Use: "simulate -c CONFIG FILE", Short: "Say which levels a recorded course of figures would have given", Args: cobra.ExactArgs(1),
		Long: `simulate plays a course through the levels of a configuration, without a coordinator. FILE has one JSON object a line, in the
order of time: {"at_s": 12, "zone": "hala-a", "load": 1.1, "lost": 0}. A figure that is left out is not known; without a zone it
is the fleet's.`,
		RunE: func(cmd *cobra.Command, args []string) error {
			cfg, err := config.Load(path)
			if err != nil {
				return err
			}
			set, _ := cfg.DegradationSettings()
			if len(set.Levels) == 0 {
				return fmt.Errorf("%s names no levels: service.levels", path)
			}
			f, err := os.Open(args[0])
			if err != nil {
				return err
			}
			defer f.Close()
			return simulateLevels(cmd.OutOrStdout(), set, args[0], f)
		}}
	cmd.Flags().StringVarP(&path, "config", "c", "", "configuration, JSON with comments")
	_ = cmd.MarkFlagRequired("config")
	return cmd
}

func simulateLevels(out io.Writer, set degradation.Settings, name string, in io.Reader) error {
	m := degradation.NewController(set)
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "AT\tSCOPE\tFROM\tTO\tWHY")
	lines := bufio.NewScanner(in)
	last, changes := -1.0, 0
	figures := map[policyapi.Zone]degradation.Signals{}
	step := func() {
		for _, c := range m.Step(policyapi.Microseconds(last*1e6), figures) {
			changes++
			fmt.Fprintf(w, "%.1f s\t%s\t%s\t%s\t%s\n", last, map[bool]string{true: "fleet", false: string(c.Zone)}[c.Zone == degradation.FleetScope], set.LevelName(c.From), set.LevelName(c.To), c.Reason)
		}
		clear(figures)
	}
	first := 0.0
	for n := 1; lines.Scan(); n++ {
		if strings.TrimSpace(lines.Text()) == "" {
			continue
		}
		var c signalLine
		dec := json.NewDecoder(strings.NewReader(lines.Text()))
		dec.DisallowUnknownFields()
		if err := dec.Decode(&c); err != nil {
			return fmt.Errorf("%s:%d: %w", name, n, err)
		}
		if c.At < last || c.At < 0 {
			return fmt.Errorf("%s:%d: at_s is %v after %v: the lines must be in the order of time", name, n, c.At, last)
		}
		if c.Zone != "" && !containsZone(set.Zones, c.Zone) {
			return fmt.Errorf("%s:%d: %q is not one of the configuration's zones", name, n, c.Zone)
		}
		if last < 0 {
			first = c.At
		} else if c.At > last {
			step()
		}
		last = c.At
		f := figures[policyapi.Zone(c.Zone)]
		for r, v := range []*float64{c.Load, c.Lost, c.Unreachable, c.Shed, c.Behind} {
			if v != nil {
				f.Set(degradation.Trigger(r), *v)
			}
		}
		figures[policyapi.Zone(c.Zone)] = f
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	if last >= 0 {
		step()
	}
	if err := w.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(out, "%d changes in %.0f s; the settings allow %d in each scope\n", changes, max(0, last-first), set.MaxChanges(policyapi.Microseconds((last-first)*1e6)))
	return nil
}

func containsZone(zones []policyapi.Zone, name string) bool {
	for _, z := range zones {
		if string(z) == name {
			return true
		}
	}
	return false
}
