package loadreport

import (
	"math"
	"testing"

	"porthub/policyapi"
)

// The same storm, eight times what can be taken, under three rules: all lines (at eight times the limit), the oldest reports
// first from a bounded queue, and sampling. In the middle the load of one endpoint doubles and another one fails.
func TestSamplingAgainstOldestFirst(t *testing.T) {
	const gateways, endpoints, linesPerReport, maxLines, rounds, changeRound = 2000, 100, 10, 2500.0, 60, 30
	type report struct {
		name  string
		lines []EndpointLine
	}
	type outcome struct {
		err      float64 // mean relative error of an endpoint's attempts
		learned  int     // rounds until half of the failing endpoint's failures are known
		followed int     // rounds until the doubled load is known within a fifth
		lines    float64 // taken per round
	}
	run := func(rule string) (result outcome) {
		f, set := newFleet(gateways, endpoints), Settings{Period: second}
		if rule == "sampling" {
			set.MaxLinesPerSecond = maxLines
		}
		sampler, waiting, cases := New(set), []report(nil), 0
		result.learned, result.followed = rounds, rounds
		for r := range rounds {
			now := policyapi.Microseconds(r+1) * second
			if r == changeRound {
				f.meanAttempts[7] *= 2
			}
			truth, failed := map[policyapi.EndpointID]float64{}, 0.0
			var arrived []report
			for g, name := range f.names {
				next := report{name: name}
				for i := range linesPerReport {
					index := (g*7 + i*i + i) % endpoints
					line := EndpointLine{Endpoint: f.endpoints[index], Attempts: int(f.meanAttempts[index]*2*f.rng.Float64()) + 1}
					if index == 13 && r >= changeRound {
						line.Failures = line.Attempts
						failed += float64(line.Attempts)
					}
					next.lines = append(next.lines, line)
					truth[line.Endpoint] += float64(line.Attempts)
				}
				arrived = append(arrived, next)
			}
			f.rng.Shuffle(len(arrived), func(i, j int) { arrived[i], arrived[j] = arrived[j], arrived[i] })
			if rule == "oldest" {
				waiting = append(waiting, arrived...)
				if maxWaiting := int(20 * maxLines / linesPerReport); len(waiting) > maxWaiting {
					waiting = waiting[:maxWaiting] // the queue is full
				}
				index := min(len(waiting), int(maxLines/linesPerReport))
				arrived, waiting = waiting[:index], waiting[index:]
			}
			for _, next := range arrived {
				v := sampler.Decide(now, next.name, linesPerReport, 30, second)
				for _, line := range next.lines {
					if _, ok := sampler.Sample(v, line); ok && r >= 5 {
						result.lines += 1.0 / (rounds - 5)
					}
				}
			}
			sampler.EndRound(now)
			if r < 5 {
				continue
			}
			for id, want := range truth {
				got, _ := sampler.Estimate(now, id)
				result.err += math.Abs(got.Attempts-want) / want
				cases++
			}
			if got, _ := sampler.Estimate(now, "n13"); r >= changeRound && got.Failures > failed/2 {
				result.learned = min(result.learned, r-changeRound)
			}
			if got, _ := sampler.Estimate(now, "n7"); r >= changeRound && math.Abs(got.Attempts-truth["n7"]) < truth["n7"]/5 {
				result.followed = min(result.followed, r-changeRound)
			}
		}
		result.err /= float64(cases)
		return result
	}
	all, oldest, sampling := run("all"), run("oldest"), run("sampling")
	t.Logf("all %+v, oldest first %+v, sampling %+v", all, oldest, sampling)
	if sampling.learned > 0 || oldest.learned < 10 || sampling.lines > maxLines || sampling.err > 1.25*oldest.err {
		t.Error("sampling does not detect the failure sooner, or its estimates are worse")
	}
}
