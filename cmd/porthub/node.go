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
		Long: `node runs a coordinator the way the platform starts one: NODE_CONFIG names its configuration file, in JSON; a name or an address
that is missing there is taken from NODE_NAME, NODE_LISTEN and NODE_DISCOVERY. SIGHUP reloads the file.`,
		Example: "  NODE_CONFIG=/run/balancer/config.json porthub node",
		Args:    cobra.NoArgs,
		RunE:    func(*cobra.Command, []string) error { return runNode() },
	}
}

func runNode() error {
	// Signals are handled before anything else: one without a handler ends the process. A SIGHUP that comes before the configuration has
	// been read waits, and the file is read once more when the coordinator serves.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	log, err := newLogger("info")
	if err != nil {
		return err
	}
	defer func() { _ = log.Sync() }()
	cfg, err := readNodeConfig()
	if err != nil {
		return err
	}
	applyLimits(cfg.Limits)
	coordinator, err := proxyserver.New(cfg, log)
	if err != nil {
		return wrapEnvironment(err)
	}
	go reloadOnSignal(ctx, hangups, coordinator, log) // ends with ctx, which Run outlives
	log.Info("serving", zap.String("name", cfg.Name), zap.String("listen", coordinator.Addr()), zap.Any("limits", cfg.Limits))
	return wrapEnvironment(coordinator.Run(ctx))
}

// reloadDelays are the delays before a configuration that could not be read is read again: a file that is being replaced is complete
// before long.
var reloadDelays = []time.Duration{
	50 * time.Millisecond,
	100 * time.Millisecond,
	200 * time.Millisecond,
	400 * time.Millisecond,
	800 * time.Millisecond,
}

// reloadOnSignal puts the configuration in force again with each signal, until the context ends.
func reloadOnSignal(ctx context.Context, hangups <-chan os.Signal, coordinator *proxyserver.Coordinator, log *zap.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		}
		cfg, err := readNodeConfigWithRetries(ctx)
		if errors.Is(err, context.Canceled) {
			return
		}
		if err != nil {
			log.Warn("configuration not reloaded, the current one stays in force", zap.Error(err))
			continue
		}
		coordinator.Reload(cfg)
	}
}

// readNodeConfigWithRetries reads the configuration, after a failure again with reloadDelays. It returns the last error, or the context's
// if that ends first.
func readNodeConfigWithRetries(ctx context.Context) (proxyproto.Config, error) {
	for attempt := 0; ; attempt++ {
		cfg, err := readNodeConfig()
		if err == nil || attempt == len(reloadDelays) {
			return cfg, err
		}
		select {
		case <-ctx.Done():
			return cfg, ctx.Err()
		case <-time.After(reloadDelays[attempt]):
		}
	}
}

// wrapEnvironment gives a failure of the machine the error, and so the exit code, that other commands have for it.
func wrapEnvironment(err error) error {
	if errors.Is(err, proxyserver.ErrEnvironment) {
		return fmt.Errorf("%w: %w", daemon.ErrEnvironment, err)
	}
	return err
}

// errNoConfig is a start without NODE_CONFIG.
var errNoConfig = errors.New("NODE_CONFIG is not set: it must name the configuration file")

// readNodeConfig reads the file that NODE_CONFIG names.
func readNodeConfig() (proxyproto.Config, error) {
	path := os.Getenv("NODE_CONFIG")
	if path == "" {
		return proxyproto.Config{}, errNoConfig
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

const (
	// extraProcessors are for the event loop, which waits in the kernel most of the time and would hold the only core's place meanwhile.
	extraProcessors = 1
	// heapNumerator and heapDenominator are the part of the memory limit for the heap: a third is for what the garbage collector does not
	// see.
	heapNumerator   = 2
	heapDenominator = 3
	bytesPerMB      = 1 << 20
)

// applyLimits keeps the process within its limits.
func applyLimits(limits proxyproto.Limits) {
	if limits.Cores > 0 {
		runtime.GOMAXPROCS(extraProcessors + int(math.Ceil(limits.Cores)))
	}
	if limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(limits.MemoryMB * bytesPerMB * heapNumerator / heapDenominator))
	}
}
