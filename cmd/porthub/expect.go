package main

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"porthub/config"
)

// suiteSuffix is the suffix of the names of expectation files beside a configuration.
const suiteSuffix = ".expect.json"

// allCases in place of the number of a case selects all cases.
const allCases = -1

// expectFlags holds the flags of the expect command.
type expectFlags struct {
	config     string
	junit      string
	asJSON     bool
	seed       int
	caseNumber int
}

func expectCommand() *cobra.Command {
	flags := &expectFlags{}
	cmd := &cobra.Command{
		Use:   "expect -c CONFIG [FILES]",
		Short: "Verify routing expectations without traffic",
		Long: `expect runs the expectations in FILES through the coordinator's core with simulated time: no sockets, no traffic. Without FILES it
uses the files beside the configuration that end in .expect.json. It exits with 1 if an expectation fails, and reports the file and
line, the gateway, the request class and the time. docs/expectations.md describes what can be expected.`,
		Example: `  porthub expect -c porthub.json
  porthub expect -c porthub.json night.expect.json --case 17 --seed 4
  porthub expect -c porthub.json --junit report.xml`,
		RunE: func(cmd *cobra.Command, files []string) error { return flags.run(cmd, files) },
	}
	cmd.Flags().StringVarP(&flags.config, "config", "c", "", "configuration, JSON with comments")
	cmd.Flags().IntVar(&flags.caseNumber, "case", allCases, "run only this case; -1: all")
	cmd.Flags().IntVar(&flags.seed, "seed", 0, "seed that replaces the one in the files")
	cmd.Flags().StringVar(&flags.junit, "junit", "", "write a JUnit report to this file")
	outputFlag(cmd, &flags.asJSON)
	_ = cmd.MarkFlagRequired("config")
	return cmd
}

func (f *expectFlags) run(cmd *cobra.Command, files []string) error {
	cfg, err := config.Load(f.config)
	if err != nil {
		return err
	}
	if len(files) == 0 {
		files, err = findSuites(f.config)
		if err != nil {
			return err
		}
		if len(files) == 0 {
			return fmt.Errorf("no file in the directory of %s ends in %s: specify an expectation file", f.config, suiteSuffix)
		}
	}
	results, err := f.runFiles(cmd, cfg, files)
	if err != nil {
		return err
	}
	if f.junit != "" {
		if err := writeJUnit(f.junit, results); err != nil {
			return err
		}
	}
	if f.asJSON {
		err = printJSON(cmd.OutOrStdout(), results)
	} else {
		printResults(cmd.OutOrStdout(), results)
	}
	if err != nil {
		return err
	}
	if anyFailed(results) {
		return errCheckFailed
	}
	return nil
}

func (f *expectFlags) runFiles(cmd *cobra.Command, cfg config.Config, files []string) (results []expectationResult, err error) {
	for _, file := range files {
		suite, err := config.LoadSuite(file, cfg)
		if err != nil {
			return nil, err
		}
		if cmd.Flags().Changed("seed") {
			for i := range suite.Expectations {
				suite.Expectations[i].Seed = uint64(f.seed)
			}
		}
		results = append(results, runSuite(cfg, file, suite, f.caseNumber)...)
	}
	return results, nil
}

// findSuites returns the paths of the expectation files in a configuration's directory.
func findSuites(path string) (files []string, err error) {
	dir := filepath.Dir(path)
	entries, err := os.ReadDir(dir)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, fmt.Errorf("%s: %w", dir, err)
	}
	for _, entry := range entries {
		if strings.HasSuffix(entry.Name(), suiteSuffix) {
			files = append(files, filepath.Join(dir, entry.Name()))
		}
	}
	return files, nil
}

func anyFailed(results []expectationResult) bool {
	return slices.ContainsFunc(results, func(r expectationResult) bool { return len(r.Failures) > 0 })
}

func printResults(out io.Writer, results []expectationResult) {
	cases, failed := 0, 0
	for _, r := range results {
		cases += r.Cases
		if len(r.Failures) == 0 {
			fmt.Fprintf(out, "holds  %s:%d: %s (%d cases, %.1f s)\n", r.File, r.Line, r.Name, r.Cases, r.Duration.Seconds())
			continue
		}
		failed++
		for _, failure := range r.Failures {
			fmt.Fprintf(out, "FAILS  %s:%d: %s\n", r.File, failure.Line, failure)
		}
	}
	fmt.Fprintf(out, "%d expectations, %d cases, %d do not hold\n", len(results), cases, failed)
}
