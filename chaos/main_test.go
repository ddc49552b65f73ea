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

// TestMain runs the tests or, in a process that a scenario starts with the arguments of serve, the coordinator.
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

// testCommand returns the coordinator command, which is the test binary itself.
func testCommand() []string { return []string{os.Args[0]} }

// runAll runs a subtest for each rule. All run concurrently, regardless of the -parallel flag, because they mostly wait.
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
