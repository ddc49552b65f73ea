package chaos

import (
	"time"

	"porthub/audit"
	"porthub/daemon"
	"porthub/emulator"
)

// measure requests the coordinator's estimates each second until the end, and fills in the rates and latencies.
func (f *lightFleet) measure(start time.Duration, result *LoadReportResult) {
	var last daemon.SamplingStatus
	_ = f.readEstimates(&last) // an unanswered first question leaves zeros
	reportsBefore := f.tally.Reports.Load()
	offered := int64(0)
	accepted := int64(0)
	end := start + time.Duration(f.options.Seconds)*time.Second
	for f.world.Now() < end {
		time.Sleep(time.Second)
		before := last
		if err := f.readEstimates(&last); err != nil {
			continue // it is down, or behind
		}
		if last.Sampling.Reports >= before.Sampling.Reports { // it was not restarted
			offered += last.Sampling.Lines - before.Sampling.Lines
			accepted += last.Sampling.AcceptedLines - before.Sampling.AcceptedLines
		}
		result.MaxMailbox = max(result.MaxMailbox, last.Inbox)
		f.compareEstimates(last, result)
	}
	elapsed := (f.world.Now() - start).Seconds()
	result.Reports = float64(f.tally.Reports.Load()-reportsBefore) / elapsed
	result.Lines = float64(offered) / elapsed
	result.LinesAccepted = float64(accepted) / elapsed
	result.Steps = last.StepTimes
	result.ResponseTime = latencyOf(f.tally.ResponseTimes().Latencies())
	result.DrainTime = latencyOf(f.drainTimes.Latencies())
	result.LateResponses = f.tally.LateAnswers.Load()
	result.Deferred = f.tally.Deferred.Load()
	result.Disconnects = f.tally.Disconnects.Load()
	result.Throttled = f.tally.Throttled.Load()
}

// readEstimates requests the coordinator's estimates. They stay as they were if it does not respond.
func (f *lightFleet) readEstimates(into *daemon.SamplingStatus) error {
	var fresh daemon.SamplingStatus
	if err := getJSON("http://"+f.coordinator.address()+"/intake", &fresh); err != nil {
		return err
	}
	*into = fresh
	return nil
}

// compareEstimates compares the coordinator's estimates with the endpoints' load.
func (f *lightFleet) compareEstimates(answer daemon.SamplingStatus, result *LoadReportResult) {
	now := f.world.Now()
	views := []*EstimateAccuracy{&result.Overall}
	if f.isSteady(now) {
		views = append(views, &result.Steady)
	}
	positions := map[string]int{}
	for i, estimate := range answer.Endpoints {
		positions[string(estimate.Endpoint)] = i
	}
	period := duration(f.scenario.ReportPeriod)
	for _, e := range f.endpoints {
		if f.stateOf(e) == audit.Draining {
			continue
		}
		i, seen := positions[e.Name]
		for _, view := range views {
			view.Cases++
			if !seen {
				view.Missing++
				continue
			}
			estimate := answer.Endpoints[i]
			reportedAt := now - time.Duration(answer.Now-estimate.At)*time.Microsecond
			attempts := e.AttemptRate(reportedAt-3*period/2, reportedAt-period/2) // a report is on the period before it
			utilization, queue := e.MeanLoad(reportedAt-period, reportedAt)
			view.Attempts.add(estimate.Attempts, attempts, estimate.AttemptsError, max(attempts, 1))
			view.Utilization.add(estimate.Utilization, utilization, estimate.UtilizationError, 1)
			view.Queue.add(estimate.Queue, queue, estimate.QueueError, 10)
		}
	}
}

// isSteady reports whether no fault has affected the fleet for some seconds.
func (f *lightFleet) isSteady(now time.Duration) bool {
	const settling = 6 * time.Second
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, at := range f.changes {
		if now-at <= settling {
			return false
		}
	}
	return true
}

func (f *lightFleet) stateOf(e *emulator.LightEndpoint) audit.EndpointState {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.states[e.Name]
}
