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
	// maxShrinkRuns bounds the number of runs that reduce a failing case to a smaller one.
	maxShrinkRuns = 40
	// caseGCPercent makes garbage collection rarer than the default of 100 does, at which it takes a third of the time: a
	// case lives for only a tenth of a second.
	caseGCPercent = 400
)

// expectationResult is the result of one expectation.
type expectationResult struct {
	File     string                `json:"file"`
	Name     string                `json:"name"`
	Line     int                   `json:"line"`
	Cases    int                   `json:"cases"`
	Duration time.Duration         `json:"took_ns"`
	Failures []expectation.Failure `json:"failures"` // the first failure of each assertion that does not hold
}

// runSuite runs all cases of each expectation in a suite, or only the case with the number given if that is not negative.
// Cases run concurrently, which does not affect their results.
func runSuite(cfg config.Config, file string, suite expectation.Suite, caseNumber int) (results []expectationResult) {
	defer debug.SetGCPercent(debug.SetGCPercent(caseGCPercent))
	settings := coreSettings(cfg)
	for _, e := range suite.Expectations {
		start := time.Now()
		result := expectationResult{File: file, Name: e.Name, Line: e.Line, Cases: max(1, e.Cases)}
		first := 0
		if caseNumber >= 0 {
			first = caseNumber
			result.Cases = 1
		}
		result.Failures = runCases(settings, e, first, result.Cases)
		result.Duration = time.Since(start)
		results = append(results, result)
	}
	return results
}

// coreSettings returns the settings of the core of a coordinator with this configuration.
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

// runCases runs count cases, starting with the number first. For each assertion that does not hold it returns the failure
// of the case with the lowest number, shrunk.
func runCases(settings coordinator.Settings, e expectation.Expectation, first, count int) (failures []expectation.Failure) {
	byCase := make([][]expectation.Failure, count)
	var running sync.WaitGroup
	slots := make(chan struct{}, runtime.GOMAXPROCS(0)) // limits the number of concurrent cases
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
