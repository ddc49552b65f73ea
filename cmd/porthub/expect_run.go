package main

import (
	"runtime"
	"runtime/debug"
	"sync"
	"time"

	"porthub/config"
	"porthub/coordinator"
	"porthub/expectation"
	"porthub/policyapi"
)

const (
	// maxShrinkRuns bounds the search for a smaller case of a failure.
	maxShrinkRuns = 40
	// caseGCPercent collects garbage less often than by default: a case lives for a tenth of a second, and collection
	// would take a third of the time.
	caseGCPercent = 400
)

// expectationResult is the result of one expectation.
type expectationResult struct {
	File     string                `json:"file"`
	Name     string                `json:"name"`
	Line     int                   `json:"line"`
	Cases    int                   `json:"cases"`
	Duration time.Duration         `json:"took_ns"`
	Failures []expectation.Failure `json:"failures"` // the first of each assertion that does not hold
}

// runSuite runs all cases of a suite, or the one of a number. Cases run concurrently; their results do not depend on it.
func runSuite(cfg config.Config, file string, suite expectation.Suite, number int) (results []expectationResult) {
	defer debug.SetGCPercent(debug.SetGCPercent(caseGCPercent))
	settings := coreSettings(cfg)
	for _, e := range suite.Expectations {
		start := time.Now()
		result := expectationResult{File: file, Name: e.Name, Line: e.Line, Cases: max(1, e.Cases)}
		first := 0
		if number >= 0 {
			first = number
			result.Cases = 1
		}
		result.Failures = runCases(settings, e, first, result.Cases)
		result.Duration = time.Since(start)
		results = append(results, result)
	}
	return results
}

// coreSettings are those of a coordinator with the configuration.
func coreSettings(cfg config.Config) coordinator.Settings {
	settings := coordinator.Settings{
		Start:          cfg.Start(),
		SilenceTimeout: policyapi.Microseconds(cfg.Gateways.SilenceTimeout),
		SolverEnabled:  cfg.Solver.Enabled,
		MaxReportLines: float64(cfg.Reports.SamplingLimit),
	}
	settings.Degradation, settings.Fallback = cfg.DegradationSettings()
	return settings
}

// runCases runs cases and returns the first failure of each assertion, by the order of cases, shrunk.
func runCases(settings coordinator.Settings, e expectation.Expectation, first, count int) (failures []expectation.Failure) {
	byCase := make([][]expectation.Failure, count)
	var running sync.WaitGroup
	slots := make(chan struct{}, runtime.GOMAXPROCS(0)) // one for each case that runs
	for i := range count {
		slots <- struct{}{}
		running.Go(func() {
			defer func() { <-slots }()
			byCase[i] = e.Run(settings, e.Draw(first+i))
		})
	}
	running.Wait()
	seen := map[int]bool{}
	for i := range byCase {
		for _, failure := range byCase[i] {
			if seen[failure.Line] {
				continue
			}
			seen[failure.Line] = true
			failures = append(failures, e.Shrink(settings, e.Draw(first+i), failure, maxShrinkRuns))
		}
	}
	return failures
}
