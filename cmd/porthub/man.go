package main

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"
	"github.com/spf13/cobra/doc"

	"porthub/daemon"
)

func manCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "man DIR",
		Short:   "Write the man pages of all commands to a directory",
		Args:    cobra.ExactArgs(1),
		Example: "  porthub man /usr/local/share/man/man1",
		RunE: func(cmd *cobra.Command, args []string) error {
			dir := args[0]
			if err := os.MkdirAll(dir, 0o755); err != nil {
				return fmt.Errorf("%w: %w", daemon.ErrEnvironment, err)
			}
			header := &doc.GenManHeader{Title: "PORTHUB", Section: "1", Source: "porthub"}
			if err := doc.GenManTree(cmd.Root(), header, dir); err != nil {
				return fmt.Errorf("%w: %w", daemon.ErrEnvironment, err)
			}
			pages, err := filepath.Glob(filepath.Join(dir, "porthub*.1"))
			fmt.Fprintf(cmd.OutOrStdout(), "%d pages in %s\n", len(pages), dir)
			return err
		},
	}
}
