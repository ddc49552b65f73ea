package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/pprof"
	"syscall"

	"github.com/spf13/cobra"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"porthub/config"
	"porthub/daemon"
)

// serveFlags holds the flags of the serve command.
type serveFlags struct {
	config   string
	addrFile string
	profile  string
}

func serveCommand() *cobra.Command {
	flags := &serveFlags{}
	cmd := &cobra.Command{
		Use:   "serve -c FILE",
		Short: "Run a coordinator until SIGTERM or SIGINT",
		Example: `  porthub serve -c porthub.json
  porthub serve -c porthub.json --addr-file /run/porthub/addr`,
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return flags.run() },
	}
	cmd.Flags().StringVarP(&flags.config, "config", "c", "", "configuration, JSON with comments")
	cmd.Flags().StringVar(&flags.profile, "cpu-profile", "", "write a CPU profile to this file at exit")
	cmd.Flags().StringVar(&flags.addrFile, "addr-file", "", "write the bound address to this file")
	_ = cmd.MarkFlagRequired("config")
	return cmd
}

func (f *serveFlags) run() error {
	cfg, err := config.Load(f.config)
	if err != nil {
		return err
	}
	limitHeap(float64(cfg.Limits.MemoryMB))
	log, err := newLogger(cfg.LogLevel)
	if err != nil {
		return err
	}
	defer func() { _ = log.Sync() }()
	d, err := daemon.New(daemon.Options{Config: cfg, Log: log})
	if err != nil {
		return err
	}
	if f.addrFile != "" {
		if err := os.WriteFile(f.addrFile, []byte(d.Addr()), 0o644); err != nil {
			return fmt.Errorf("%w: %w", daemon.ErrEnvironment, err)
		}
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	stopProfile, err := startProfile(f.profile)
	if err != nil {
		return err
	}
	defer stopProfile()
	if err := d.Run(ctx); err != nil {
		return fmt.Errorf("%w: %w", errCheckFailed, err)
	}
	return nil
}

// startProfile starts a CPU profile. The returned function ends the profile and writes it to the path. Without a path there
// is no profile.
func startProfile(path string) (stop func(), err error) {
	if path == "" {
		return func() {}, nil
	}
	file, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", daemon.ErrEnvironment, err)
	}
	if err := pprof.StartCPUProfile(file); err != nil {
		_ = file.Close()
		return nil, fmt.Errorf("%w: %w", daemon.ErrEnvironment, err)
	}
	return func() {
		pprof.StopCPUProfile()
		_ = file.Close()
	}, nil
}

func newLogger(level string) (*zap.Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	settings := zap.NewProductionConfig()
	settings.Level = zap.NewAtomicLevelAt(parsed)
	settings.EncoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	settings.DisableStacktrace = true
	settings.DisableCaller = true
	settings.Sampling = nil
	return settings.Build()
}
