package main

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"porthub/policyapi"
)

// outputFormat is the value of --output: a table, or one JSON document.
type outputFormat struct{ json *bool }

func (f outputFormat) String() string {
	if f.json != nil && *f.json {
		return "json"
	}
	return "table"
}

func (f outputFormat) Set(text string) error {
	if text != "table" && text != "json" {
		return fmt.Errorf("%q: it must be table or json", text)
	}
	*f.json = text == "json"
	return nil
}

func (f outputFormat) Type() string { return "table|json" }

// outputFlag adds the flag --output to a command, and --json as a short form of --output json.
func outputFlag(cmd *cobra.Command, asJSON *bool) {
	cmd.Flags().VarP(outputFormat{asJSON}, "output", "o", "output format: table, or json for one JSON object")
	cmd.Flags().BoolVar(asJSON, "json", false, "the same as --output json")
	_ = cmd.RegisterFlagCompletionFunc("output", cobra.FixedCompletions([]string{"table", "json"}, cobra.ShellCompDirectiveNoFileComp))
}

func printJSON(out io.Writer, document any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(document)
}

// newTable returns a writer that aligns cells separated by tabs. The caller must flush it.
func newTable(out io.Writer) *tabwriter.Writer { return tabwriter.NewWriter(out, 0, 4, 2, ' ', 0) }

// orDash returns a text, or a dash if it is empty.
func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// age formats the time from at to now, rounded to 100 ms.
func age(now, at policyapi.Microseconds) string {
	return (time.Duration(now-at) * time.Microsecond).Round(100 * time.Millisecond).String()
}
