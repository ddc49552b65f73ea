package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"porthub/config"
	"porthub/degradation"
	"porthub/policyapi"
)

const microsecondsPerSecond = 1e6

func levelSimulateCommand() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:   "simulate -c CONFIG FILE",
		Short: "Show which service levels a recorded series of signals would have led to",
		Args:  cobra.ExactArgs(1),
		Long: `simulate applies the service levels of a configuration to a series of signals, without a coordinator. FILE has one JSON object per
line, ordered by time: {"at_s": 12, "zone": "hala-a", "load": 1.1, "lost": 0}. A signal that is left out is unknown; without a zone
the signals are the fleet's.`,
		RunE: func(cmd *cobra.Command, args []string) error {
			cfg, err := config.Load(path)
			if err != nil {
				return err
			}
			settings, _ := cfg.DegradationSettings()
			if len(settings.Levels) == 0 {
				return fmt.Errorf("%s configures no service levels: set service.levels", path)
			}
			file, err := os.Open(args[0])
			if err != nil {
				return err
			}
			defer func() { _ = file.Close() }()
			return simulateLevels(cmd.OutOrStdout(), settings, args[0], file)
		},
	}
	cmd.Flags().StringVarP(&path, "config", "c", "", "configuration, JSON with comments")
	_ = cmd.MarkFlagRequired("config")
	return cmd
}

// signalLine is one line of recorded signals. A signal that is left out is nil: its value is unknown.
type signalLine struct {
	At          float64  `json:"at_s"`
	Zone        string   `json:"zone"` // empty: the fleet
	Load        *float64 `json:"load"`
	Lost        *float64 `json:"lost"`
	Unreachable *float64 `json:"unreachable"`
	Shed        *float64 `json:"shed"`
	Behind      *float64 `json:"behind"`
}

func parseSignalLine(text string) (line signalLine, err error) {
	decoder := json.NewDecoder(strings.NewReader(text))
	decoder.DisallowUnknownFields()
	err = decoder.Decode(&line)
	return line, err
}

// values returns the signals of the line, indexed by trigger.
func (l signalLine) values() [degradation.TriggerCount]*float64 {
	return [degradation.TriggerCount]*float64{
		degradation.TriggerLoad:           l.Load,
		degradation.TriggerLostCapacity:   l.Lost,
		degradation.TriggerUnreachable:    l.Unreachable,
		degradation.TriggerShedReports:    l.Shed,
		degradation.TriggerPublicationLag: l.Behind,
	}
}

// levelSimulation feeds recorded signals to a controller and prints the changes of level.
type levelSimulation struct {
	settings   degradation.Settings
	controller *degradation.Controller
	table      io.Writer
	changes    int

	started bool
	first   float64 // time of the first line, in seconds
	last    float64 // time of the last line, in seconds
	signals map[policyapi.Zone]degradation.Signals
}

func simulateLevels(out io.Writer, settings degradation.Settings, name string, in io.Reader) error {
	table := newTable(out)
	fmt.Fprintln(table, "AT\tSCOPE\tFROM\tTO\tREASON")
	s := &levelSimulation{
		settings:   settings,
		controller: degradation.NewController(settings),
		table:      table,
		signals:    map[policyapi.Zone]degradation.Signals{},
	}
	if err := s.read(name, in); err != nil {
		return err
	}
	if err := table.Flush(); err != nil {
		return err
	}
	seconds, limit := s.length()
	fmt.Fprintf(out, "%d changes in %.0f s; the settings allow %d in each scope\n", s.changes, seconds, limit)
	return nil
}

// length returns the number of seconds that the signals cover, and the number of changes of level that the settings allow in
// one scope during that time.
func (s *levelSimulation) length() (seconds float64, maxChanges int) {
	seconds = s.last - s.first
	if !s.started {
		seconds = -1 // no line: a negative length, which allows no departure from a level
	}
	return max(0, seconds), s.settings.MaxChanges(policyapi.Microseconds(seconds * microsecondsPerSecond))
}

// read adds all lines and evaluates the signals of the last moment. Errors name the file and the line number.
func (s *levelSimulation) read(name string, in io.Reader) error {
	lines := bufio.NewScanner(in)
	for number := 1; lines.Scan(); number++ {
		if strings.TrimSpace(lines.Text()) == "" {
			continue
		}
		line, err := parseSignalLine(lines.Text())
		if err == nil {
			err = s.add(line)
		}
		if err != nil {
			return fmt.Errorf("%s:%d: %w", name, number, err)
		}
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	if s.started {
		s.step()
	}
	return nil
}

// add merges a line into the signals of its moment. If the line is later than the previous one, it first evaluates the
// signals of the previous moment.
func (s *levelSimulation) add(line signalLine) error {
	last := s.last
	if !s.started {
		last = -1
	}
	if line.At < last || line.At < 0 {
		return fmt.Errorf("at_s is %v after %v: times must not be negative, and the lines must be ordered by time", line.At, last)
	}
	zone := policyapi.Zone(line.Zone)
	if zone != "" && !slices.Contains(s.settings.Zones, zone) {
		return fmt.Errorf("%q is not one of the configuration's zones", line.Zone)
	}
	switch {
	case !s.started:
		s.started = true
		s.first = line.At
	case line.At > s.last:
		s.step()
	}
	s.last = line.At
	signals := s.signals[zone]
	for trigger, value := range line.values() {
		if value != nil {
			signals.Set(degradation.Trigger(trigger), *value)
		}
	}
	s.signals[zone] = signals
	return nil
}

// step evaluates the signals of one moment and prints the changes of level that follow from them.
func (s *levelSimulation) step() {
	for _, change := range s.controller.Step(policyapi.Microseconds(s.last*microsecondsPerSecond), s.signals) {
		s.changes++
		fmt.Fprintf(s.table, "%.1f s\t%s\t%s\t%s\t%s\n", s.last, scopeName(change.Zone), s.settings.LevelName(change.From),
			s.settings.LevelName(change.To), change.Reason)
	}
	clear(s.signals)
}
