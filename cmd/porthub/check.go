package main

import (
	"errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"porthub/config"
)

func checkCommand() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:     "check -c FILE",
		Short:   "Check a configuration and the expectations in the *.expect.json files beside it",
		Example: "  porthub check -c porthub.json",
		Args:    cobra.NoArgs,
		RunE:    func(cmd *cobra.Command, _ []string) error { return check(cmd.OutOrStdout(), path) },
	}
	cmd.Flags().StringVarP(&path, "config", "c", "", "configuration to check")
	_ = cmd.MarkFlagRequired("config")
	return cmd
}

// check validates a configuration and the expectation files beside it, runs the expectations, and prints all problems.
func check(out io.Writer, path string) error {
	results, err := checkSuites(path)
	var findings config.ValidationError
	if errors.As(err, &findings) {
		for _, finding := range findings {
			fmt.Fprintln(out, finding)
		}
		return errCheckFailed
	}
	if err != nil {
		return err
	}
	if len(results) > 0 {
		printResults(out, results)
	}
	if anyFailed(results) {
		return errCheckFailed
	}
	fmt.Fprintf(out, "%s: valid\n", path)
	return nil
}

// checkSuites runs the expectations in all files beside a configuration. If any of the files is invalid, it returns the
// findings of all of them as one error.
func checkSuites(path string) (results []expectationResult, err error) {
	cfg, err := config.Load(path)
	if err != nil {
		return nil, err
	}
	files, err := findSuites(path)
	if err != nil {
		return nil, err
	}
	var findings config.ValidationError
	for _, file := range files {
		suite, err := config.LoadSuite(file, cfg)
		var invalid config.ValidationError
		switch {
		case errors.As(err, &invalid):
			findings = append(findings, invalid...)
		case err != nil:
			return nil, err
		default:
			results = append(results, runSuite(cfg, file, suite, allCases)...)
		}
	}
	if len(findings) > 0 {
		return nil, findings
	}
	return results, nil
}
