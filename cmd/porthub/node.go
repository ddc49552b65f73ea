package main

import (
	"context"
	"errors"
	"fmt"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"porthub/daemon"
	"porthub/proxyproto"
	"porthub/proxyserver"
)

func nodeCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "node",
		Short: "Run a coordinator on the operators' platform until SIGTERM or SIGINT",
		Long: `node starts as the platform starts a coordinator: NODE_CONFIG names a file with its configuration, in JSON; what that
does not say of name and addresses is taken from NODE_NAME, NODE_LISTEN and NODE_DISCOVERY. SIGHUP reads the file again.`,
		Example: "  NODE_CONFIG=/run/balancer/config.json porthub node",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			// Before anything else: a signal that finds no handler ends the process. A new configuration that is told of
			// before the first one has been read is read once more when the node stands.
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			again := make(chan os.Signal, 1)
			signal.Notify(again, syscall.SIGHUP)
			defer signal.Stop(again)
			log, err := logger("info")
			if err != nil {
				return err
			}
			defer func() { _ = log.Sync() }()
			cfg, err := readNodeConfig()
			if err != nil {
				return err
			}
			within(cfg.Limits)
			n, err := proxyserver.New(cfg, log)
			if err != nil {
				return environment(err)
			}
			go follow(ctx, again, n, log)
			log.Info("serving", zap.String("name", cfg.Name), zap.String("listen", n.Addr()), zap.Any("limits", cfg.Limits))
			return environment(n.Run(ctx))
		},
	}
}

// rereads are the pauses before a configuration that could not be read is tried again: one that is being replaced is whole
// before long.
var rereads = []time.Duration{50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond}

// follow puts the configuration in force anew with each signal.
func follow(ctx context.Context, again <-chan os.Signal, n *proxyserver.Coordinator, log *zap.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-again:
		}
		for try := 0; ; try++ {
			fresh, err := readNodeConfig()
			if err == nil {
				n.Reload(fresh)
				break
			}
			if try == len(rereads) {
				log.Warn("the configuration stays as it is", zap.Error(err))
				break
			}
			select {
			case <-ctx.Done():
				return
			case <-time.After(rereads[try]):
			}
		}
	}
}

// environment gives a failure of the machine the exit code that other commands have for it.
func environment(err error) error {
	if errors.Is(err, proxyserver.ErrEnvironment) {
		return fmt.Errorf("%w: %w", daemon.ErrEnvironment, err)
	}
	return err
}

func readNodeConfig() (proxyproto.Config, error) {
	path := os.Getenv("NODE_CONFIG")
	if path == "" {
		return proxyproto.Config{}, errors.New("NODE_CONFIG is not set: it names the configuration")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return proxyproto.Config{}, fmt.Errorf("NODE_CONFIG: %w", err)
	}
	cfg, err := proxyproto.ReadConfig(text, os.Getenv)
	if err != nil {
		return cfg, fmt.Errorf("%s: %w", path, err)
	}
	return cfg, nil
}

// within keeps the process inside its limits. The event loop waits in the kernel for most of the time and would hold the only
// core's place meanwhile: it has one of its own. Of the memory a third is for what the collector does not see.
func within(l proxyproto.Limits) {
	if l.Cores > 0 {
		runtime.GOMAXPROCS(1 + int(math.Ceil(l.Cores)))
	}
	if l.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(l.MemoryMB * (1 << 20) * 2 / 3))
	}
}
