package main

import (
	"encoding/xml"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"porthub/config"
	"porthub/coordinator"
	"porthub/expectation"
	"porthub/policyapi"
)

// suiteSuffix is how files of expectations beside a configuration end.
const suiteSuffix = ".expect.json"

// maxShrinkRuns bounds the search for a smaller case of a failure.
const maxShrinkRuns = 40

func expectCommand() *cobra.Command {
	var path, junit string
	var asJSON bool
	var seed, number int
	cmd := &cobra.Command{Use: "expect -c CONFIG [FILES]", Short: "Prove expectations of routing without traffic",
		Long: `expect runs what is written in FILES through the coordinator's core with fed time: no sockets, no traffic. Without FILES it takes
those that end in .expect.json beside the configuration. It exits with 1 if an expectation does not hold, and names it by file and
line, the gateway, the request kind and the moment. docs/expectations.md says what can be expected.`,
		Example: `  porthub expect -c porthub.json
  porthub expect -c porthub.json night.expect.json --case 17 --seed 4
  porthub expect -c porthub.json --junit report.xml`,
		RunE: func(cmd *cobra.Command, files []string) error {
			cfg, err := config.Load(path)
			if err != nil {
				return err
			}
			if len(files) == 0 {
				if files, err = findSuites(path); err != nil {
					return err
				}
				if len(files) == 0 {
					return fmt.Errorf("no file beside %s ends in %s: name one", path, suiteSuffix)
				}
			}
			var all []expectationResult
			for _, file := range files {
				suite, err := config.LoadSuite(file, cfg)
				if err != nil {
					return err
				}
				if cmd.Flags().Changed("seed") {
					for i := range suite.Expectations {
						suite.Expectations[i].Seed = uint64(seed)
					}
				}
				all = append(all, runSuite(cfg, file, suite, number)...)
			}
			if junit != "" {
				if err := writeJUnit(junit, all); err != nil {
					return err
				}
			}
			if asJSON {
				err = printJSON(cmd.OutOrStdout(), all)
			} else {
				printResults(cmd.OutOrStdout(), all)
			}
			if err != nil {
				return err
			}
			if slices.ContainsFunc(all, func(p expectationResult) bool { return len(p.Failures) > 0 }) {
				return errCheckFailed
			}
			return nil
		}}
	cmd.Flags().StringVarP(&path, "config", "c", "", "configuration, JSON with comments")
	cmd.Flags().IntVar(&number, "case", -1, "only this case; -1: all")
	cmd.Flags().IntVar(&seed, "seed", 0, "in place of the files' own")
	cmd.Flags().StringVar(&junit, "junit", "", "write a JUnit report to this file")
	outputFlag(cmd, &asJSON)
	_ = cmd.MarkFlagRequired("config")
	return cmd
}

// findSuites lists the files of expectations in a configuration's folder.
func findSuites(path string) (files []string, err error) {
	entries, err := os.ReadDir(filepath.Dir(path))
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, fmt.Errorf("%s: %w", filepath.Dir(path), err)
	}
	for _, e := range entries {
		if strings.HasSuffix(e.Name(), suiteSuffix) {
			files = append(files, filepath.Join(filepath.Dir(path), e.Name()))
		}
	}
	return files, nil
}

// checkSuites proves all expectations beside a configuration; the findings of all files come together.
func checkSuites(cfg config.Config, path string) (all []expectationResult, err error) {
	files, err := findSuites(path)
	if err != nil {
		return nil, err
	}
	var found config.ValidationError
	for _, file := range files {
		suite, err := config.LoadSuite(file, cfg)
		var some config.ValidationError
		switch {
		case errors.As(err, &some):
			found = append(found, some...)
		case err != nil:
			return nil, err
		default:
			all = append(all, runSuite(cfg, file, suite, -1)...)
		}
	}
	if len(found) > 0 {
		return nil, found
	}
	return all, nil
}

// expectationResult is how one expectation came out.
type expectationResult struct {
	File     string                `json:"file"`
	Name     string                `json:"name"`
	Line     int                   `json:"line"`
	Cases    int                   `json:"cases"`
	Duration time.Duration         `json:"took_ns"`
	Failures []expectation.Failure `json:"failures"` // the first of each thing that does not hold
}

// runSuite runs all cases of a suite, side by side; what they find does not depend on how many run at a time.
func runSuite(cfg config.Config, file string, suite expectation.Suite, number int) (out []expectationResult) {
	set := coordinator.Settings{Start: cfg.Start(), SilenceTimeout: policyapi.Microseconds(cfg.Gateways.SilenceTimeout), SolverEnabled: cfg.Solver.Enabled, MaxReportLines: float64(cfg.Reports.SamplingLimit)}
	set.Degradation, set.Fallback = cfg.DegradationSettings()
	// Cases live for a tenth of a second each: collecting their garbage less often is a third of the time.
	defer debug.SetGCPercent(debug.SetGCPercent(400))
	for _, e := range suite.Expectations {
		began := time.Now()
		p := expectationResult{File: file, Name: e.Name, Line: e.Line, Cases: max(1, e.Cases)}
		from := 0
		if number >= 0 {
			from, p.Cases = number, 1
		}
		found := make([][]expectation.Failure, p.Cases)
		var all sync.WaitGroup
		slots := make(chan struct{}, runtime.GOMAXPROCS(0))
		for i := range p.Cases {
			all.Add(1)
			slots <- struct{}{}
			go func() {
				defer func() { <-slots; all.Done() }()
				found[i] = e.Run(set, e.Draw(from+i))
			}()
		}
		all.Wait()
		seen := map[int]bool{} // by line: the first case stands for all
		for i := range found {
			for _, f := range found[i] {
				if !seen[f.Line] {
					seen[f.Line] = true
					p.Failures = append(p.Failures, e.Shrink(set, e.Draw(from+i), f, maxShrinkRuns))
				}
			}
		}
		p.Duration = time.Since(began)
		out = append(out, p)
	}
	return out
}

func printResults(out io.Writer, all []expectationResult) {
	cases, failed := 0, 0
	for _, p := range all {
		cases += p.Cases
		if len(p.Failures) == 0 {
			fmt.Fprintf(out, "holds  %s:%d: %s (%d cases, %.1f s)\n", p.File, p.Line, p.Name, p.Cases, p.Duration.Seconds())
			continue
		}
		failed++
		for _, f := range p.Failures {
			fmt.Fprintf(out, "FAILS  %s:%d: %s\n", p.File, f.Line, f)
		}
	}
	fmt.Fprintf(out, "%d expectations, %d cases, %d do not hold\n", len(all), cases, failed)
}

// writeJUnit writes the form that CI systems read.
func writeJUnit(path string, all []expectationResult) error {
	type failure struct {
		Message string `xml:"message,attr"`
	}
	type testCase struct {
		Name     string    `xml:"name,attr"`
		Class    string    `xml:"classname,attr"`
		Time     float64   `xml:"time,attr"`
		Failures []failure `xml:"failure"`
	}
	type suite struct {
		XMLName  xml.Name   `xml:"testsuite"`
		Name     string     `xml:"name,attr"`
		Tests    int        `xml:"tests,attr"`
		Failures int        `xml:"failures,attr"`
		Cases    []testCase `xml:"testcase"`
	}
	s := suite{Name: "porthub expect", Tests: len(all)}
	for _, p := range all {
		one := testCase{Name: p.Name, Class: p.File, Time: p.Duration.Seconds()}
		for _, f := range p.Failures {
			one.Failures = append(one.Failures, failure{fmt.Sprintf("%s:%d: %s", p.File, f.Line, f)})
		}
		if len(p.Failures) > 0 {
			s.Failures++
		}
		s.Cases = append(s.Cases, one)
	}
	text, err := xml.MarshalIndent(s, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(path, append([]byte(xml.Header), append(text, '\n')...), 0o644); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}
