package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"runtime/pprof"
	"slices"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"porthub/client"
	"porthub/config"
	"porthub/daemon"
)

func serveCommand() *cobra.Command {
	var path, addrFile, profile string
	cmd := &cobra.Command{
		Use:   "serve -c FILE",
		Short: "Run a coordinator until SIGTERM or SIGINT",
		Example: `  porthub serve -c porthub.json
  porthub serve -c porthub.json --addr-file /run/porthub/addr`,
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			cfg, err := config.Load(path)
			if err != nil {
				return err
			}
			log, err := newLogger(cfg.LogLevel)
			if err != nil {
				return err
			}
			defer func() { _ = log.Sync() }()
			d, err := daemon.New(daemon.Options{Config: cfg, Log: log})
			if err != nil {
				return err
			}
			if addrFile != "" {
				if err := os.WriteFile(addrFile, []byte(d.Addr()), 0o644); err != nil {
					return fmt.Errorf("%w: %w", daemon.ErrEnvironment, err)
				}
			}
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			if profile != "" {
				f, err := os.Create(profile)
				if err != nil {
					return fmt.Errorf("%w: %w", daemon.ErrEnvironment, err)
				}
				defer f.Close()
				if err := pprof.StartCPUProfile(f); err != nil {
					return fmt.Errorf("%w: %w", daemon.ErrEnvironment, err)
				}
				defer pprof.StopCPUProfile()
			}
			if err := d.Run(ctx); err != nil {
				return fmt.Errorf("%w: %w", errCheckFailed, err)
			}
			return nil
		},
	}
	cmd.Flags().StringVarP(&path, "config", "c", "", "configuration, JSON with comments")
	cmd.Flags().StringVar(&profile, "cpu-profile", "", "write a CPU profile to this file at the end")
	cmd.Flags().StringVar(&addrFile, "addr-file", "", "write the address that was bound to this file")
	_ = cmd.MarkFlagRequired("config")
	return cmd
}

func newLogger(level string) (*zap.Logger, error) {
	l, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	c := zap.NewProductionConfig()
	c.Level = zap.NewAtomicLevelAt(l)
	c.EncoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	c.DisableStacktrace, c.DisableCaller, c.Sampling = true, true, nil
	return c.Build()
}

func checkCommand() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:     "check -c FILE",
		Short:   "Check a configuration, and what is expected of it in the files *.expect.json beside it",
		Example: "  porthub check -c porthub.json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			cfg, err := config.Load(path)
			var all []expectationResult
			if err == nil {
				all, err = checkSuites(cfg, path)
			}
			var findings config.ValidationError
			if errors.As(err, &findings) {
				for _, f := range findings {
					fmt.Fprintln(cmd.OutOrStdout(), f)
				}
				return errCheckFailed
			}
			if err != nil {
				return err
			}
			if len(all) > 0 {
				printResults(cmd.OutOrStdout(), all)
			}
			if slices.ContainsFunc(all, func(p expectationResult) bool { return len(p.Failures) > 0 }) {
				return errCheckFailed
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: all well\n", path)
			return nil
		},
	}
	cmd.Flags().StringVarP(&path, "config", "c", "", "configuration to check")
	_ = cmd.MarkFlagRequired("config")
	return cmd
}

func tablesCommand() *cobra.Command {
	var addr, only string
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "tables",
		Short: "Show what each gateway was given, what it has confirmed, and since when",
		Example: `  porthub tables --addr 127.0.0.1:7070
  porthub tables --addr 127.0.0.1:7070 --gateway gw-3 --output json`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, cancel := context.WithTimeout(cmd.Context(), 5*time.Second)
			defer cancel()
			s, err := client.Status(ctx, addr)
			if err != nil {
				return fmt.Errorf("%w: %w", daemon.ErrEnvironment, err)
			}
			shown := s.Gateways[:0:0]
			for _, g := range s.Gateways {
				if only == "" || string(g.Gateway) == only {
					shown = append(shown, g)
				}
			}
			if only != "" && len(shown) == 0 {
				return fmt.Errorf("no gateway %q has ever joined: it may be misspelt, or be another coordinator's", only)
			}
			if asJSON {
				return printJSON(cmd.OutOrStdout(), shown)
			}
			w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 4, 2, ' ', 0)
			fmt.Fprintln(w, "GATEWAY\tZONE\tJOINED\tGIVEN\tCONFIRMED\tAGE\tWAITING\tOPEN LINES")
			for _, g := range shown {
				var open []string
				for _, c := range g.Snapshot.Clusters {
					open = append(open, fmt.Sprintf("%s %d", c.Class, g.Snapshot.OpenEndpoints(c.Class)))
				}
				age := "-"
				if g.ConfirmedAt[0] > 0 {
					age = (time.Duration(int64(s.Now)-g.ConfirmedAt[0]) * time.Microsecond).Round(100 * time.Millisecond).String()
				}
				fmt.Fprintf(w, "%s\t%s\t%v\t%s\t%s\t%s\t%d\t%s\n", g.Gateway, g.Zone, g.Connected, orDash(g.Version), orDash(g.Confirmed[0]),
					age, g.Unacknowledged, strings.Join(open, ", "))
			}
			return w.Flush()
		},
	}
	cmd.PersistentFlags().StringVar(&addr, "addr", "127.0.0.1:7070", "address of the coordinator")
	cmd.AddCommand(versionCommands(&addr)...)
	outputFlag(cmd, &asJSON)
	cmd.Flags().StringVar(&only, "gateway", "", "only this gateway")
	return cmd
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print which build this is",
		Args:  cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) {
			version, revision := "development", ""
			if info, ok := debug.ReadBuildInfo(); ok {
				if info.Main.Version != "" && info.Main.Version != "(devel)" {
					version = info.Main.Version
				}
				for _, s := range info.Settings {
					if s.Key == "vcs.revision" {
						revision = s.Value
					}
				}
			}
			fmt.Fprintf(cmd.OutOrStdout(), "porthub %s %s\n", version, revision)
		},
	}
}
