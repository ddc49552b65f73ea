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
	// The signal handlers are installed first, because a signal without a handler ends the process. A SIGHUP that arrives before the
	// coordinator serves stays in the channel, and the file is read once more when it serves.
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
	go reloadOnSignal(ctx, hangups, coordinator, log) // returns when ctx ends, as Run does
	log.Info("serving", zap.String("name", cfg.Name), zap.String("listen", coordinator.Addr()), zap.Any("limits", cfg.Limits))
	return wrapEnvironment(coordinator.Run(ctx))
}

// reloadDelays are the delays before each retry if the configuration could not be read. A file that is being replaced is incomplete for a
// short time only.
var reloadDelays = []time.Duration{
	50 * time.Millisecond,
	100 * time.Millisecond,
	200 * time.Millisecond,
	400 * time.Millisecond,
	800 * time.Millisecond,
}

// reloadOnSignal reads the configuration after each signal and applies it, until the context ends.
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

// readNodeConfigWithRetries reads the configuration and retries after each of reloadDelays if that fails. It returns the error of the last
// attempt, or the context's error if the context ends first.
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

// wrapEnvironment wraps an environment error of package proxyserver in daemon.ErrEnvironment too, which determines the exit code.
func wrapEnvironment(err error) error {
	if errors.Is(err, proxyserver.ErrEnvironment) {
		return fmt.Errorf("%w: %w", daemon.ErrEnvironment, err)
	}
	return err
}

// errNoConfig is returned if the environment variable NODE_CONFIG is not set.
var errNoConfig = errors.New("NODE_CONFIG is not set: it must name the configuration file")

// readNodeConfig reads the configuration file that NODE_CONFIG names.
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
	// extraProcessors is added to GOMAXPROCS for the event loop, which waits in the kernel most of the time: with a limit of one core it
	// would otherwise occupy the only processor while it waits.
	extraProcessors = 1
	// heapDivisor defines the fraction of the memory limit that is available to the heap. The rest is for memory that the garbage
	// collector does not manage: the program itself takes a third of the smallest limit, 48 MB.
	heapDivisor = 2
	bytesPerMB  = 1 << 20
)

// applyLimits applies the configured limits on cores and memory to the Go runtime. A limit of 0 leaves the runtime's default.
func applyLimits(limits proxyproto.Limits) {
	if limits.Cores > 0 {
		runtime.GOMAXPROCS(extraProcessors + int(math.Ceil(limits.Cores)))
	}
	if limits.MemoryMB > 0 {
		limitHeap(limits.MemoryMB)
	}
}

// limitHeap makes the garbage collector keep the heap within its fraction of a memory limit.
func limitHeap(memoryMB float64) { debug.SetMemoryLimit(int64(memoryMB * bytesPerMB / heapDivisor)) }
