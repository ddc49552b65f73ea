package degradation

import (
	"fmt"
	"math"

	"porthub/policyapi"
)

const (
	// maxLevels is the largest number of levels.
	maxLevels = 16
	// minTableEndpoints is the smallest limit on the endpoints of a table. With fewer, one failing endpoint affects too much of
	// the traffic.
	minTableEndpoints = 3
	// maxIntervalFactor is the largest factor on the report period.
	maxIntervalFactor = 10
	// minReportsToLeave is the number of reports that must arrive at a level before it may be left.
	minReportsToLeave = 2
)

// minLeave holds the smallest valid leave threshold of each trigger. A fleet without problems may have these values, so that a
// lower threshold could prevent a level from being left.
var minLeave = [TriggerCount]float64{
	TriggerLoad:           0.1,
	TriggerLostCapacity:   0.01,
	TriggerUnreachable:    0.02,
	TriggerShedReports:    0.01,
	TriggerPublicationLag: 0.02,
}

// allLevels is the Finding.Level of findings that concern the list of levels and not one of them.
const allLevels = -1

// Finding describes an error in settings.
type Finding struct {
	Level   int    // index of the level in Settings.Levels, or -1 if the finding concerns the whole list
	Key     string // key in the configuration of the level
	Problem string
	Remedy  string
}

// findings collects the findings of one check.
type findings []Finding

func (f *findings) add(level int, key, problem, remedy string) {
	*f = append(*f, Finding{level, key, problem, remedy})
}

// Check returns the errors in the settings: values out of range, and levels that could never be left or entered, that would
// oscillate, or that would leave admitted work unused.
func (s Settings) Check() []Finding {
	var found findings
	if len(s.Levels) > maxLevels {
		found.add(allLevels, "", fmt.Sprintf("has %d levels", len(s.Levels)), fmt.Sprintf("at most %d", maxLevels))
	}
	names := map[string]bool{"": true, NormalLevel: true}
	for i, l := range s.Levels {
		if names[l.Name] {
			found.add(i, "name", fmt.Sprintf("%q is empty, reserved (%q) or appears twice", l.Name, NormalLevel),
				"give each level a unique name")
		}
		names[l.Name] = true
		s.checkTriggers(i, &found)
		s.checkDelays(i, &found)
		s.checkBounds(i, &found)
	}
	return found
}

// checkTriggers checks the thresholds of all triggers of the level with index i.
func (s Settings) checkTriggers(i int, found *findings) {
	triggers := 0
	for t := range TriggerCount {
		enter, leave := s.Levels[i].Enter[t], s.Levels[i].Leave[t]
		switch {
		case !isThreshold(enter) || !isThreshold(leave):
			found.add(i, "enter."+t.String(), fmt.Sprintf("is %v and leave is %v", enter, leave), "both must be 0 or more")
		case enter > 0:
			triggers++
			s.checkTrigger(i, t, found)
		case leave > 0:
			found.add(i, "leave."+t.String(), "is set without enter."+t.String(), "set both or none")
		}
	}
	if triggers == 0 {
		found.add(i, "enter", "has no trigger",
			"set one of load, lost, unreachable, shed, behind; use enter.load 1000 for a level that only operators set")
	}
}

// isThreshold reports whether v is finite and at least 0.
func isThreshold(v float64) bool { return v >= 0 && !math.IsInf(v, 0) }

// checkTrigger checks the thresholds of trigger t of the level with index i. The enter threshold must be above 0.
func (s Settings) checkTrigger(i int, t Trigger, found *findings) {
	enter, leave := s.Levels[i].Enter[t], s.Levels[i].Leave[t]
	if leave >= enter {
		found.add(i, "leave."+t.String(), fmt.Sprintf("%v is not below enter, %v: the level would oscillate", leave, enter),
			"set it below enter")
	}
	if leave < minLeave[t] {
		found.add(i, "leave."+t.String(), fmt.Sprintf("%v is never reached in normal operation: the level can't be left", leave),
			fmt.Sprintf("%v or more", minLeave[t]))
	}
	if t != TriggerLoad && enter > 1 {
		found.add(i, "enter."+t.String(), fmt.Sprintf("%v is never reached", enter), "at most 1")
	}
	if i == 0 {
		return
	}
	if milder := s.Levels[i-1]; milder.Enter[t] > enter {
		found.add(i, "enter."+t.String(), fmt.Sprintf("%v is below that of %q, %v, which is less severe",
			enter, milder.Name, milder.Enter[t]),
			"more severe levels must not be entered earlier")
	}
}

// checkDelays checks the delays of the level with index i.
func (s Settings) checkDelays(i int, found *findings) {
	l := s.Levels[i]
	if l.EnterDelay < 0 {
		found.add(i, "enter_held", "is below 0", "0 or more")
	}
	if evidence := s.reportTime(i); l.LeaveDelay < evidence {
		found.add(i, "leave_held", fmt.Sprintf("%v s is below two report periods at this level", float64(l.LeaveDelay)/float64(second)),
			fmt.Sprintf("%v s or more: the level could be left without evidence", float64(evidence)/float64(second)))
	}
}

// reportTime returns the time in which minReportsToLeave reports arrive at the level with index i.
func (s Settings) reportTime(i int) policyapi.Microseconds {
	return minReportsToLeave * s.Period * policyapi.Microseconds(max(1, s.Levels[i].Bounds.ReportIntervalFactor))
}

// checkBounds checks the bounds of the level with index i.
func (s Settings) checkBounds(i int, found *findings) {
	bounds := s.Levels[i].Bounds
	if len(bounds.Share) != len(s.Classes) || len(bounds.RetryPolicy) != len(s.Classes) {
		found.add(i, "kinds", fmt.Sprintf("has bounds for %d of %d request classes", len(bounds.Share), len(s.Classes)), "one for each")
		return
	}
	s.checkClassBounds(i, found)
	if !isFraction(bounds.CrossZoneFactor) {
		found.add(i, "cross", fmt.Sprintf("is %v", bounds.CrossZoneFactor), "0 to 1")
	}
	if bounds.MaxEndpoints != 0 && bounds.MaxEndpoints < minTableEndpoints {
		found.add(i, "lines", fmt.Sprintf("is %d", bounds.MaxEndpoints), fmt.Sprintf("%d or more, or 0 for no bound", minTableEndpoints))
	}
	if bounds.MaxHealthChecks < 0 {
		found.add(i, "probes_per_s", "is below 0", "0 for no bound")
	}
	if bounds.ReportIntervalFactor < 1 || bounds.ReportIntervalFactor > maxIntervalFactor {
		found.add(i, "report_stretch", fmt.Sprintf("is %d", bounds.ReportIntervalFactor), fmt.Sprintf("1 to %d", maxIntervalFactor))
	}
	if i == 0 {
		return
	}
	if milder := s.Levels[i-1]; bounds.ReportIntervalFactor < milder.Bounds.ReportIntervalFactor {
		found.add(i, "report_stretch", fmt.Sprintf("%d is below that of %q", bounds.ReportIntervalFactor, milder.Name),
			"more severe levels must limit as much or more")
	}
}

// checkClassBounds checks the bounds by request class of the level with index i.
func (s Settings) checkClassBounds(i int, found *findings) {
	bounds := s.Levels[i].Bounds
	sum := 0.0
	for class, share := range bounds.Share {
		if !isFraction(share) {
			found.add(i, "kinds."+s.Classes[class]+".share", fmt.Sprintf("is %v", share), "0 to 1")
		}
		if bounds.RetryPolicy[class] < 0 || bounds.RetryPolicy[class] > maxRetryPolicy {
			found.add(i, "kinds."+s.Classes[class]+".second_try", fmt.Sprintf("is %d", bounds.RetryPolicy[class]),
				fmt.Sprintf("0 to %d", maxRetryPolicy))
		}
		sum += share
	}
	if sum < 1 {
		found.add(i, "kinds", fmt.Sprintf("shares add up to %.2f: part of what can be served would be rejected", sum), "1 or more")
	}
}

// isFraction reports whether v is from 0 to 1. It is false for NaN.
func isFraction(v float64) bool { return v >= 0 && v <= 1 }
