package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"porthub/capture"
	"porthub/daemon"
	"porthub/policyapi"
)

func captureCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "capture", Short: "Inspect the recorded inputs and orders of a coordinator"}
	cmd.AddCommand(captureStatusCommand(), captureExportCommand(), captureVerifyCommand())
	return cmd
}

// captureStatus is the document that `capture status --output json` prints. Its fields are sorted by key.
type captureStatus struct {
	Bytes    int64                  `json:"bytes"`
	Damages  []capture.Damage       `json:"damages"`
	First    policyapi.Microseconds `json:"first_us"`
	Last     policyapi.Microseconds `json:"last_us"`
	Records  int64                  `json:"records"`
	Segments int                    `json:"segments"`
}

func captureStatusCommand() *cobra.Command {
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "status DIR",
		Short: "Show the segments, their sizes and the time they cover",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			status, err := readCaptureStatus(args[0])
			if err != nil {
				return err
			}
			out := cmd.OutOrStdout()
			if asJSON {
				return printJSON(out, status)
			}
			fmt.Fprintf(out, "%d segments, %d bytes, %d records from %s to %s\n", status.Segments, status.Bytes, status.Records,
				formatTime(status.First), formatTime(status.Last))
			return printDamages(out, status.Damages)
		},
	}
	outputFlag(cmd, &asJSON)
	return cmd
}

func readCaptureStatus(dir string) (captureStatus, error) {
	segments, err := capture.Segments(dir)
	if err != nil {
		return captureStatus{}, err
	}
	r, err := capture.Open(dir)
	if err != nil {
		return captureStatus{}, err
	}
	defer r.Close()
	status := captureStatus{Segments: len(segments)}
	for _, segment := range segments {
		status.Bytes += segment.Bytes
	}
	status.First, status.Last, err = capture.TimeRange(r)
	status.Records = r.Records
	status.Damages = r.Damages
	return status, err
}

func captureExportCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "export DIR",
		Short: "Print every record as a line of JSON",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			encoder := json.NewEncoder(cmd.OutOrStdout())
			_, err := forEachRecord(args[0], func(record *capture.Record) error { return encoder.Encode(record.Export()) })
			return err
		},
	}
}

func captureVerifyCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "verify DIR",
		Short: "Verify every checksum; exit 1 if a completely written record is lost",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			out := cmd.OutOrStdout()
			gaps := 0
			r, err := forEachRecord(args[0], func(record *capture.Record) error {
				if record.Gap != nil {
					gaps++
					printGap(out, *record.Gap)
				}
				return nil
			})
			if err != nil {
				return err
			}
			fmt.Fprintf(out, "%d records, %d bytes, %d gaps\n", r.Records, r.Bytes, gaps)
			return printDamages(out, r.Damages)
		},
	}
}

// forEachRecord calls visit for each record of a capture and stops at the first error. The reader that it returns is
// closed. Without an error its counts and damages cover the whole capture.
func forEachRecord(path string, visit func(*capture.Record) error) (*capture.Reader, error) {
	r, err := capture.Open(path)
	if err != nil {
		return nil, err
	}
	defer r.Close()
	for record, err := range r.All() {
		if err != nil {
			return r, err
		}
		if err := visit(record); err != nil {
			return r, err
		}
	}
	return r, nil
}

func printGap(out io.Writer, gap capture.Gap) {
	fmt.Fprintf(out, "records %d to %d are missing: %s\n", gap.From, gap.To, gap.Reason)
}

// printDamages prints a line for each damage. It returns errCheckFailed if a completely written record is lost; a truncated
// end, as a killed process leaves it, is not an error.
func printDamages(out io.Writer, damages []capture.Damage) error {
	lost := false
	for _, d := range damages {
		fmt.Fprintf(out, "%s, offset %d, %d bytes: %s\n", d.Segment, d.Offset, d.Bytes, d.Problem)
		lost = lost || !d.Truncated
	}
	if lost {
		return errCheckFailed
	}
	return nil
}

func replayCommand() *cobra.Command {
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "replay DIR",
		Short: "Run a capture through this build and compare the orders one by one",
		Long: `replay feeds the recorded inputs to the core, in order and at the recorded times, and compares the decision module's orders and the
published tables with the record. DIR is a capture directory or one of its segments. The exit code is 1 if they differ although the same
build wrote the capture, or if records are damaged. Another build may decide differently: the first difference and the number of steps
that differ are printed, and the exit code is 0.`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			r, err := capture.Open(args[0])
			if err != nil {
				return err
			}
			defer r.Close()
			result, err := capture.Replay(r, daemon.Build(), nil)
			if err != nil {
				return err
			}
			if asJSON {
				err = printJSON(cmd.OutOrStdout(), result)
			} else {
				printReplay(cmd.OutOrStdout(), result)
			}
			if err != nil {
				return err
			}
			if result.Mismatches > 0 && result.SameBuild() || result.Incomplete() {
				return errCheckFailed
			}
			return nil
		},
	}
	outputFlag(cmd, &asJSON)
	return cmd
}

func printReplay(out io.Writer, result capture.ReplayResult) {
	fmt.Fprintf(out, "%d starts, %d steps, %d orders, %d steps that published: %d steps differ\n", result.Starts, result.Steps, result.Orders,
		result.PublishingSteps, result.Mismatches)
	for _, gap := range result.Gaps {
		printGap(out, gap)
	}
	if result.Skipped > 0 {
		fmt.Fprintf(out, "%d steps after gaps were not compared: the state of the core is unknown there\n", result.Skipped)
	}
	if first := result.FirstMismatch; first != nil {
		fmt.Fprintf(out, "first difference: start %s, record %d, at %s, order %d\n  recorded: %s\n  replayed: %s\n", first.Start, first.Seq,
			formatTime(first.Now), first.Order, first.Recorded, first.Replayed)
		for _, input := range first.Inputs {
			fmt.Fprintf(out, "  input: %s\n", input)
		}
	}
	if !result.SameBuild() {
		fmt.Fprintf(out, "written by %s, replayed by %s: decisions may have changed\n", strings.Join(result.Builds, ", "), result.Build)
	}
	_ = printDamages(out, result.Damages) // the caller derives the exit code from Incomplete
}

func explainCommand() *cobra.Command {
	var endpoint, at string
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "explain DIR --node ADDRESS --at TIME",
		Short: "Explain why an endpoint received traffic at a time, from the inputs to the gateways' tables",
		Example: `  porthub explain var/state/capture --node 127.0.0.1:9001 --at 2026-12-01T21:14:05Z
  porthub explain var/state/capture --node 127.0.0.1:9001 --at +62.5s    # after the first record
  porthub explain var/state/capture --node 127.0.0.1:9001 --at -10s      # before the last record`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			when, err := parseCaptureTime(args[0], at)
			if err != nil {
				return err
			}
			r, err := capture.Open(args[0])
			if err != nil {
				return err
			}
			defer r.Close()
			explanation, err := capture.Explain(r, policyapi.EndpointID(endpoint), when)
			if err != nil {
				return err
			}
			if asJSON {
				return printJSON(cmd.OutOrStdout(), explanation)
			}
			return printExplanation(cmd.OutOrStdout(), explanation)
		},
	}
	cmd.Flags().StringVar(&endpoint, "node", "", "address of the endpoint, as in the endpoint list")
	cmd.Flags().StringVar(&at, "at", "-0s", "time: RFC 3339, microseconds since 1970, +SECONDS after the first record or -SECONDS before the last")
	outputFlag(cmd, &asJSON)
	_ = cmd.MarkFlagRequired("node")
	return cmd
}

func printExplanation(out io.Writer, explanation capture.Explanation) error {
	fmt.Fprintf(out, "%s at %s: %s\n\n", explanation.Endpoint, formatTime(explanation.At), explanation.Answer)
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	for _, event := range explanation.Events {
		fmt.Fprintf(table, "%s\t%s\t%s\n", formatTime(event.At), event.Kind, event.Text)
	}
	if len(explanation.Gateways) > 0 {
		fmt.Fprintf(table, "\ngateway\tversion\tconfirmed\tsince\tattempts reported\tconnected\trequest classes\n")
	}
	for _, g := range explanation.Gateways {
		var classes []string
		for i, class := range g.Classes {
			classes = append(classes, fmt.Sprintf("%s %.1f%%", class, 100*g.Weights[i]))
		}
		fmt.Fprintf(table, "%s\t%s\t%t\t%s\t%d\t%t\t%s\n", g.Gateway, g.Version, g.Confirmed, formatTime(g.Since), g.Attempts, !g.Disconnected,
			strings.Join(classes, ", "))
	}
	return table.Flush()
}

// parseCaptureTime parses the value of --at: a time, microseconds since 1970, or a duration relative to a step of the
// capture. That is the last step if the duration begins with a minus sign, and otherwise the first.
func parseCaptureTime(path, text string) (policyapi.Microseconds, error) {
	if t, err := time.Parse(time.RFC3339Nano, text); err == nil {
		return policyapi.Microseconds(t.UnixMicro()), nil
	}
	if n, err := strconv.ParseInt(text, 10, 64); err == nil && n > 0 {
		return policyapi.Microseconds(n), nil
	}
	offset, err := time.ParseDuration(text)
	if err != nil {
		return 0, fmt.Errorf("--at %q: it must be a time such as 2026-12-01T21:14:05Z, microseconds, +62.5s or -10s", text)
	}
	r, err := capture.Open(path)
	if err != nil {
		return 0, err
	}
	defer r.Close()
	base, last, err := capture.TimeRange(r)
	if strings.HasPrefix(text, "-") {
		base = last
	}
	return base + policyapi.Microseconds(offset.Microseconds()), err
}

// formatTime formats a time of the core in UTC. 0 means that there is no time and is formatted as a dash.
func formatTime(at policyapi.Microseconds) string {
	if at == 0 {
		return "-"
	}
	return time.UnixMicro(int64(at)).UTC().Format("2006-01-02T15:04:05.000Z")
}
