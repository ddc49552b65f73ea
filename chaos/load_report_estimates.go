package chaos

import (
	"time"

	"porthub/audit"
	"porthub/daemon"
	"porthub/emulator"
)

// measure compares the coordinator's estimates with the actual load each second until the end of the run, and fills in the
// rates and latencies.
func (f *lightFleet) measure(start time.Duration, result *LoadReportResult) {
	var last daemon.SamplingStatus
	_ = f.readEstimates(&last) // without a response the first counters are 0
	reportsBefore := f.tally.Reports.Load()
	offered := int64(0)
	accepted := int64(0)
	end := start + time.Duration(f.options.Seconds)*time.Second
	for f.world.Now() < end {
		time.Sleep(time.Second)
		before := last
		if err := f.readEstimates(&last); err != nil {
			continue // the coordinator is down or overloaded
		}
		if last.Sampling.Reports >= before.Sampling.Reports { // the counters have not been reset by a restart
			offered += last.Sampling.Lines - before.Sampling.Lines
			accepted += last.Sampling.AcceptedLines - before.Sampling.AcceptedLines
		}
		result.MaxMailboxLength = max(result.MaxMailboxLength, last.MailboxLength)
		f.compareEstimates(last, result)
	}
	elapsed := (f.world.Now() - start).Seconds()
	result.Reports = float64(f.tally.Reports.Load()-reportsBefore) / elapsed
	result.Lines = float64(offered) / elapsed
	result.LinesAccepted = float64(accepted) / elapsed
	result.Steps = last.StepTimes
	result.ResponseTime = latencyOf(f.tally.ResponseTimes().Latencies())
	result.DrainTime = latencyOf(f.drainTimes.Latencies())
	result.LateResponses = f.tally.LateResponses.Load()
	result.Deferred = f.tally.Deferred.Load()
	result.Disconnects = f.tally.Disconnects.Load()
	result.Throttled = f.tally.Throttled.Load()
}

// readEstimates requests the coordinator's estimates. It leaves them unchanged if the request fails.
func (f *lightFleet) readEstimates(into *daemon.SamplingStatus) error {
	var response daemon.SamplingStatus
	if err := getJSON("http://"+f.coordinator.address()+"/intake", &response); err != nil {
		return err
	}
	*into = response
	return nil
}

// compareEstimates adds a comparison of the coordinator's estimates with the actual load of the endpoints to the result.
// Draining endpoints are left out.
func (f *lightFleet) compareEstimates(status daemon.SamplingStatus, result *LoadReportResult) {
	now := f.world.Now()
	accuracies := []*EstimateAccuracy{&result.Overall}
	if f.isSteady(now) {
		accuracies = append(accuracies, &result.Steady)
	}
	positions := map[string]int{}
	for i, estimate := range status.Endpoints {
		positions[string(estimate.Endpoint)] = i
	}
	period := duration(f.scenario.ReportPeriod)
	for _, e := range f.endpoints {
		if f.stateOf(e) == audit.Draining {
			continue
		}
		i, found := positions[e.Name]
		for _, accuracy := range accuracies {
			accuracy.Cases++
			if !found {
				accuracy.Missing++
				continue
			}
			estimate := status.Endpoints[i]
			reportedAt := now - time.Duration(status.Now-estimate.At)*time.Microsecond
			attempts := e.AttemptRate(reportedAt-3*period/2, reportedAt-period/2) // a report covers the period before it
			utilization, queue := e.MeanLoad(reportedAt-period, reportedAt)
			accuracy.Attempts.add(estimate.Attempts, attempts, estimate.AttemptsError, max(attempts, 1))
			accuracy.Utilization.add(estimate.Utilization, utilization, estimate.UtilizationError, 1)
			accuracy.Queue.add(estimate.Queue, queue, estimate.QueueError, 10)
		}
	}
}

// isSteady reports whether no fault has affected the fleet for the settle time.
func (f *lightFleet) isSteady(now time.Duration) bool {
	const settleTime = 6 * time.Second
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, at := range f.changes {
		if now-at <= settleTime {
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
