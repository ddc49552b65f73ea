package chaos

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"

	"porthub/audit"
	"porthub/config"
	"porthub/daemon"
)

// TestMain lets this binary serve as the coordinator's process: it is started again with serve's arguments.
func TestMain(m *testing.M) {
	if os.Getenv("PORTHUB_DRILL") == "" {
		os.Exit(m.Run())
	}
	if err := serve(os.Args[1:]); err != nil {
		os.Stderr.WriteString(err.Error() + "\n")
		os.Exit(1)
	}
}

func serve(args []string) error {
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

func run(t *testing.T, s Scenario, o Options) Result {
	t.Helper()
	o.Command = []string{os.Args[0]}
	r, err := Run(s, o)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// short is a small fleet's short day with several overlapping troubles, the coordinator killed once.
func short() Scenario {
	s := defaultScenario()
	s.Name, s.Seconds, s.EndpointCount, s.GatewayCount, s.RequestRate = "short", 18, 9, 6, 50
	s.Rules.WarmUp = 6_000_000
	// On a machine that is busy with other things a real-time test must not judge tightly: a drain usually takes under a
	// second.
	s.Rules.DrainGracePeriod, s.Rules.EmptyTableLimit = 10_000_000, 10_000_000
	s.Faults = []Fault{
		{Name: "crash", At: 2e6, Duration: 3e6, Share: 0.2},
		{Name: "balancer_crash", At: 6e6, Duration: 15e5, Size: 1},
		{Name: "answer_lost", At: 7e6, Duration: 9e6, Share: 1, Size: 0.25},
		{Name: "broken_list", At: 9e6, Duration: 15e5},
		{Name: "lost_folder", At: 10e6, Share: 0.4},
		{Name: "shrink", At: 11e6, Duration: 1e6, Size: 1.3, Extra: 1},
		{Name: "counter_down", At: 12e6, Duration: 3e6, Share: 0.3},
	}
	return s
}

// The short day keeps all rules, no gateway reads half a file, and SIGTERM is obeyed.
func TestShortDayKeepsTheRules(t *testing.T) {
	t.Parallel()
	r := run(t, short(), Options{Seed: 5})
	for rule, v := range r.Rules {
		if !v.Satisfied {
			t.Errorf("%s broken: %.2f of the limit, %s", rule, v.PeakUsage, v.Detail)
		}
	}
	if r.IncompleteReads != 0 || r.DocumentsRead < 30 || r.Requests < 500 || r.Service < 0.3 || r.StopMilliseconds > 10_000 {
		t.Errorf("%+v", r)
	}
}

// Name is spoilt on the way is found, rule by rule: an audit that can't be failed would show nothing.
func TestEachBrokenRuleIsFound(t *testing.T) {
	t.Parallel()
	var all sync.WaitGroup
	defer all.Wait()
	for _, rule := range audit.Rules {
		all.Add(1)
		go func() {
			defer all.Done()
			s := short()
			s.Rules.DrainGracePeriod, s.Rules.EmptyTableLimit = 3_000_000, 5_000_000
			s.Faults = slices.DeleteFunc(s.Faults, func(t Fault) bool {
				return t.Name != "crash" && t.Name != "answer_lost" && t.Name != "shrink"
			})
			if rule == audit.WarmUp {
				s.RequestRate = 90 // at 50 what comes to a cold node is so near its limit that a busy machine keeps it
			}
			r, err := Run(s, Options{Seed: 5, BreakRule: rule, Command: []string{os.Args[0]}})
			if err != nil {
				t.Error(err)
				return
			}
			if r.Rules[rule].Satisfied || r.Passed() {
				t.Errorf("%s was spoilt and passes: %+v", rule, r.Rules)
			}
		}()
	}
}

func TestScenarios(t *testing.T) {
	names, _ := List()
	if !slices.Contains(names, "bad-day") {
		t.Errorf("built in: %v", names)
	}
	for _, name := range append(names, "only:hang") {
		if _, err := Load(name); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
	for text, says := range map[string]string{
		`{"seconds": 1}`:                                    "3 to 3600 seconds",
		`{"second": 10}`:                                    "did you mean seconds",
		`{"troubles": [{"what": "storm"}]}`:                 `there is no "storm"`,
		`{"troubles": [{"what": "crash", "part": 2}]}`:      "part must be 0 to 1",
		`{"troubles": [{"what": "zone_cut", "zone": "x"}]}`: `"x" is not one of`,
	} {
		path := t.TempDir() + "/s.json"
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := Load(path); !errors.Is(err, ErrScenario) || !strings.Contains(err.Error(), says) {
			t.Errorf("%s: %v", text, err)
		}
	}
	if _, err := Load("only:storm"); !errors.Is(err, ErrScenario) {
		t.Error(err)
	}
}

// A storm of reports passes and the rules are kept; spoilt on the way to one gateway, or to all, each is found.
func TestStormOfReports(t *testing.T) {
	t.Parallel()
	var all sync.WaitGroup
	defer all.Wait()
	for _, rule := range []string{"", audit.EmptyTable, audit.DuplicateEffect, audit.Drain, audit.WarmUp} {
		all.Add(1)
		go func() {
			defer all.Done()
			o := LoadReportOptions{Command: []string{os.Args[0]}, Seed: 3, Gateways: 150, Endpoints: 18, MaxLinesPerSecond: 300, Seconds: 17, BreakRule: rule}
			if rule == "" {
				// On a machine that is busy with other things a real-time test must not judge tightly.
				o.GracePeriod = 10_000_000
			}
			r, err := RunLoadReports(o)
			if err != nil {
				t.Error(err)
				return
			}
			for name, v := range r.Rules {
				if rule == "" && !v.Satisfied {
					t.Errorf("%s broken: %.2f of the limit, %s", name, v.PeakUsage, v.Detail)
				}
			}
			if rule != "" && r.Rules[rule].Satisfied {
				t.Errorf("%s was spoilt and passes: %+v", rule, r.Rules)
			}
			if r.Requests < 10000 || len(r.ReconnectSeconds) != 1 || r.LinesAccepted > 600 || r.Throttled == 0 || r.Overall.Cases < 100 {
				t.Errorf("%q: %+v", rule, r)
			}
		}()
	}
}
