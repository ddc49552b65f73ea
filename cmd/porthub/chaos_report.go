package main

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"porthub/audit"
	"porthub/chaos"
)

// printChaosResult prints the outcome of a scenario as tables.
func printChaosResult(out io.Writer, s chaos.Scenario, r chaos.Result) error {
	fmt.Fprintf(out, "%s, seed %d: %d requests in %d s, service %.3f, worst 10 s %.3f\n\n", r.Scenario, r.Seed, r.Requests, s.Seconds, r.Service, r.WorstService10s)
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	printCells(table, s, r)
	printRules(table, r.Rules)
	printBaselines(table, r.Baselines)
	fmt.Fprintln(table, "\ncheck\tok\tvalue")
	for _, check := range r.Checks {
		fmt.Fprintf(table, "%s\t%v\t%.3f\n", check.Name, check.OK, check.Value)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(out, "\ndelivery time p50 %.1f ms, p99 %.1f ms; response time p50 %.0f ms, p99 %.0f ms; %d files read completely, %d incompletely; ",
		r.DeliveryTime.P50, r.DeliveryTime.P99, r.ResponseTime.P50, r.ResponseTime.P99, r.DocumentsRead, r.IncompleteReads)
	fmt.Fprintf(out, "coordinator CPU %.2f s, peak %d MiB, stopped in %.0f ms; ", r.CPUSeconds, r.PeakKiB/1024, r.StopMilliseconds)
	fmt.Fprintf(out, "since its last start %d messages, %d files, %d bytes, step p50 %d us, p99 %d us, max %d us\n",
		r.Coordinator.Messages, r.Coordinator.Files, r.Coordinator.Bytes, r.Coordinator.Steps.P50, r.Coordinator.Steps.P99, r.Coordinator.Steps.Max)
	return nil
}

// printCells prints the service of each request class in each zone: the fraction of the demanded priority weight that was
// earned.
func printCells(out io.Writer, s chaos.Scenario, r chaos.Result) {
	fmt.Fprint(out, "service")
	for _, zone := range s.Zones {
		fmt.Fprintf(out, "\t%s", zone)
	}
	fmt.Fprintln(out)
	for _, class := range s.Classes {
		fmt.Fprint(out, class.Name)
		for _, zone := range s.Zones {
			fmt.Fprintf(out, "\t%.3f", r.ServiceByClassZone[class.Name+"@"+zone])
		}
		fmt.Fprintln(out)
	}
}

func printRules(out io.Writer, verdicts map[string]audit.Verdict) {
	fmt.Fprintln(out, "\nrule\tsatisfied\tpeak usage\tdetail")
	for _, rule := range audit.Rules {
		verdict := verdicts[rule]
		fmt.Fprintf(out, "%s\t%v\t%.0f%%\t%s\n", rule, verdict.Satisfied, 100*verdict.PeakUsage, verdict.Detail)
	}
}

func printBaselines(out io.Writer, baselines map[string]chaos.Baseline) {
	if len(baselines) == 0 {
		return
	}
	fmt.Fprintln(out, "\nbaseline\tservice\tworst 10 s\tviolated")
	for _, name := range slices.Sorted(maps.Keys(baselines)) {
		baseline := baselines[name]
		var violated []string
		for _, rule := range audit.Rules {
			if !baseline.Rules[rule].Satisfied {
				violated = append(violated, rule)
			}
		}
		fmt.Fprintf(out, "%s\t%.3f\t%.3f\t%v\n", name, baseline.Service, baseline.WorstService10s, violated)
	}
}
