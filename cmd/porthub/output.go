package main

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"
	"github.com/spf13/cobra/doc"

	"porthub/daemon"
)

// outputFormat is how a command prints: a table for people, or one JSON object.
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

// outputFlag gives a command --output, and --json, which says the same in fewer letters.
func outputFlag(cmd *cobra.Command, asJSON *bool) {
	cmd.Flags().VarP(outputFormat{asJSON}, "output", "o", "table, or one JSON object")
	cmd.Flags().BoolVar(asJSON, "json", false, "the same as --output json")
	_ = cmd.RegisterFlagCompletionFunc("output", cobra.FixedCompletions([]string{"table", "json"}, cobra.ShellCompDirectiveNoFileComp))
}

func manCommand() *cobra.Command {
	return &cobra.Command{Use: "man DIR", Short: "Write man pages of all commands into a folder", Args: cobra.ExactArgs(1),
		Example: "  porthub man /usr/local/share/man/man1",
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := os.MkdirAll(args[0], 0o755); err != nil {
				return fmt.Errorf("%w: %w", daemon.ErrEnvironment, err)
			}
			if err := doc.GenManTree(cmd.Root(), &doc.GenManHeader{Title: "PORTHUB", Section: "1", Source: "porthub"}, args[0]); err != nil {
				return fmt.Errorf("%w: %w", daemon.ErrEnvironment, err)
			}
			pages, err := filepath.Glob(filepath.Join(args[0], "porthub*.1"))
			fmt.Fprintf(cmd.OutOrStdout(), "%d pages in %s\n", len(pages), args[0])
			return err
		}}
}
