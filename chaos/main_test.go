package chaos

import (
	"cmp"
	"context"
	"os"
	"os/signal"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"

	"porthub/config"
	"porthub/daemon"
)

// TestMain lets this binary serve as the coordinator's process: it is started again with the arguments of serve.
func TestMain(m *testing.M) {
	variable, _, _ := strings.Cut(processEnvironment, "=")
	if os.Getenv(variable) == "" {
		os.Exit(m.Run())
	}
	if err := serveCoordinator(os.Args[1:]); err != nil {
		os.Stderr.WriteString(err.Error() + "\n")
		os.Exit(1)
	}
}

func serveCoordinator(args []string) error {
	cfg, err := config.Load(args[slices.Index(args, "-c")+1])
	if err != nil {
		return err
	}
	d, err := daemon.New(daemon.Options{Config: cfg})
	if err != nil {
		return err
	}
	if err := os.WriteFile(args[slices.Index(args, "--addr-file")+1], []byte(d.Addr()), 0o600); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	return d.Run(ctx)
}

// testCommand is this binary as the coordinator's command.
func testCommand() []string { return []string{os.Args[0]} }

// runAll runs a subtest for each rule, all at once however many tests may run in parallel: they mostly wait.
func runAll(t *testing.T, rules []string, test func(t *testing.T, rule string)) {
	t.Helper()
	var all sync.WaitGroup
	defer all.Wait()
	for _, rule := range rules {
		all.Go(func() {
			t.Run(cmp.Or(rule, "no rule broken"), func(t *testing.T) { test(t, rule) })
		})
	}
}
