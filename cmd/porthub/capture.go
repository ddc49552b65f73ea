package main

import (
	"encoding/json"
	"errors"
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
	cmd := &cobra.Command{Use: "capture", Short: "What a coordinator was told and ordered, as it is kept on disk"}
	var asJSON bool
	status := &cobra.Command{
		Use:   "status DIR",
		Short: "Segments, their sizes and the time they cover",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			segments, err := capture.Segments(args[0])
			if err != nil {
				return err
			}
			total := int64(0)
			for _, s := range segments {
				total += s.Bytes
			}
			r, err := capture.Open(args[0])
			if err != nil {
				return err
			}
			defer r.Close()
			first, last, err := capture.TimeRange(r)
			if err != nil {
				return err
			}
			if asJSON {
				return printAny(cmd.OutOrStdout(), map[string]any{"segments": len(segments), "bytes": total, "records": r.Records, "first_us": first,
					"last_us": last, "damages": r.Damages})
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%d segments, %d bytes, %d records from %s to %s\n", len(segments), total, r.Records, clock(first), clock(last))
			return damages(cmd.OutOrStdout(), r.Damages)
		},
	}
	outputFlag(status, &asJSON)
	export := &cobra.Command{
		Use:   "export DIR",
		Short: "Every record as a line of JSON",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			r, err := capture.Open(args[0])
			if err != nil {
				return err
			}
			defer r.Close()
			enc := json.NewEncoder(cmd.OutOrStdout())
			for {
				rec, err := r.Next()
				if errors.Is(err, io.EOF) {
					return nil
				}
				if err != nil {
					return err
				}
				if err := enc.Encode(rec.Export()); err != nil {
					return err
				}
			}
		},
	}
	verify := &cobra.Command{
		Use:   "verify DIR",
		Short: "Check every checksum; exit 1 if anything that was taken is lost",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			r, err := capture.Open(args[0])
			if err != nil {
				return err
			}
			defer r.Close()
			gaps := 0
			for {
				rec, err := r.Next()
				if errors.Is(err, io.EOF) {
					break
				}
				if err != nil {
					return err
				}
				if rec.Gap != nil {
					gaps++
					fmt.Fprintf(cmd.OutOrStdout(), "records %d to %d are missing: %s\n", rec.Gap.From, rec.Gap.To, rec.Gap.Reason)
				}
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%d records, %d bytes, %d gaps\n", r.Records, r.Bytes, gaps)
			return damages(cmd.OutOrStdout(), r.Damages)
		},
	}
	cmd.AddCommand(status, export, verify)
	return cmd
}

// damages lists them; anything but a torn end is an error.
func damages(w io.Writer, all []capture.Damage) error {
	lost := false
	for _, d := range all {
		fmt.Fprintf(w, "%s, offset %d, %d bytes: %s\n", d.Segment, d.Offset, d.Bytes, d.Problem)
		lost = lost || !d.Torn
	}
	if lost {
		return errNotHeld
	}
	return nil
}

func replayCommand() *cobra.Command {
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "replay FILE",
		Short: "Run a capture through this build and compare the orders one by one",
		Long: `replay hands the core what it was told, in order and at the recorded times, and compares the module's orders and what
was published with the record. Exit 1: they differ though the same build wrote it, or records that were taken are damaged. Another build
may decide otherwise: then the first difference and how many steps differ are told, and the exit code is 0.`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			r, err := capture.Open(args[0])
			if err != nil {
				return err
			}
			defer r.Close()
			v, err := capture.Replay(r, daemon.Build(), nil)
			if err != nil {
				return err
			}
			w := cmd.OutOrStdout()
			if asJSON {
				if err := printAny(w, v); err != nil {
					return err
				}
			} else {
				fmt.Fprintf(w, "%d starts, %d steps, %d orders, %d steps that published: %d steps differ\n", v.Starts, v.Steps, v.Orders, v.PublishingSteps, v.Mismatches)
				for _, g := range v.Gaps {
					fmt.Fprintf(w, "records %d to %d are missing: %s\n", g.From, g.To, g.Reason)
				}
				if v.Skipped > 0 {
					fmt.Fprintf(w, "%d steps after gaps were not compared: what the core knew then is not known\n", v.Skipped)
				}
				if f := v.FirstMismatch; f != nil {
					fmt.Fprintf(w, "first difference: start %s, record %d, at %s, order %d\n  recorded: %s\n  replayed: %s\n", f.Start, f.Seq, clock(f.Now), f.Order,
						f.Recorded, f.Replayed)
					for _, in := range f.Inputs {
						fmt.Fprintf(w, "  told: %s\n", in)
					}
				}
				if !v.SameBuild() {
					fmt.Fprintf(w, "written by %s, replayed by %s: decisions may have changed\n", strings.Join(v.Builds, ", "), v.Build)
				}
				_ = damages(w, v.Damages)
			}
			if v.Mismatches > 0 && v.SameBuild() || v.Incomplete() {
				return errNotHeld
			}
			return nil
		},
	}
	outputFlag(cmd, &asJSON)
	return cmd
}

func explainCommand() *cobra.Command {
	var node, at string
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "explain FILE --node ADDRESS --at TIME",
		Short: "Why a node got traffic at a time: the chain from what was told to the gateways' lines",
		Example: `  porthub explain var/state/capture --node 127.0.0.1:9001 --at 2026-12-01T21:14:05Z
  porthub explain var/state/capture --node 127.0.0.1:9001 --at +62.5s    # after the first record
  porthub explain var/state/capture --node 127.0.0.1:9001 --at -10s      # before the last`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			open := func() (*capture.Reader, error) { return capture.Open(args[0]) }
			when, err := moment(open, at)
			if err != nil {
				return err
			}
			r, err := open()
			if err != nil {
				return err
			}
			defer r.Close()
			x, err := capture.Explain(r, policyapi.EndpointID(node), when)
			if err != nil {
				return err
			}
			if asJSON {
				return printAny(cmd.OutOrStdout(), x)
			}
			w := cmd.OutOrStdout()
			fmt.Fprintf(w, "%s at %s: %s\n\n", x.Endpoint, clock(x.At), x.Answer)
			t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
			for _, e := range x.Events {
				fmt.Fprintf(t, "%s\t%s\t%s\n", clock(e.At), e.Kind, e.Text)
			}
			if len(x.Gateways) > 0 {
				fmt.Fprintf(t, "\ngateway\tversion\tconfirmed\tsince\ttries reported\tlink\trequest kinds\n")
				for _, h := range x.Gateways {
					var kinds []string
					for i, k := range h.Classes {
						kinds = append(kinds, fmt.Sprintf("%s %.1f%%", k, 100*h.Weights[i]))
					}
					link := "stands"
					if h.Disconnected {
						link = "ended"
					}
					fmt.Fprintf(t, "%s\t%s\t%t\t%s\t%d\t%s\t%s\n", h.Gateway, h.Version, h.Confirmed, clock(h.Since), h.Attempts, link, strings.Join(kinds, ", "))
				}
			}
			return t.Flush()
		},
	}
	cmd.Flags().StringVar(&node, "node", "", "address of the node, as the list has it")
	cmd.Flags().StringVar(&at, "at", "-0s", "RFC 3339, microseconds since 1970, +SECONDS after the first record or -SECONDS before the last")
	outputFlag(cmd, &asJSON)
	_ = cmd.MarkFlagRequired("node")
	return cmd
}

// moment reads a time as explain takes it.
func moment(open func() (*capture.Reader, error), at string) (policyapi.Microseconds, error) {
	if t, err := time.Parse(time.RFC3339Nano, at); err == nil {
		return policyapi.Microseconds(t.UnixMicro()), nil
	}
	if n, err := strconv.ParseInt(at, 10, 64); err == nil && n > 0 {
		return policyapi.Microseconds(n), nil
	}
	if d, err := time.ParseDuration(at); err == nil {
		r, err := open()
		if err != nil {
			return 0, err
		}
		defer r.Close()
		first, last, err := capture.TimeRange(r)
		if strings.HasPrefix(at, "-") {
			first = last
		}
		return first + policyapi.Microseconds(d.Microseconds()), err
	}
	return 0, fmt.Errorf("--at %q: it must be a time such as 2026-12-01T21:14:05Z, microseconds, +62.5s or -10s", at)
}

// clock shows a time of the core.
func clock(at policyapi.Microseconds) string {
	if at == 0 {
		return "-"
	}
	return time.UnixMicro(int64(at)).UTC().Format("2006-01-02T15:04:05.000Z")
}
