package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	tea "charm.land/bubbletea/v2"
	"github.com/charmbracelet/x/ansi"
	"github.com/spf13/cobra"

	"porthub/capture"
	"porthub/coordinator"
	"porthub/daemon"
	"porthub/policyapi"
	"porthub/tui"
)

const (
	// maxFrames bounds the number of frames that are kept of a capture: one hour, with one frame per second.
	maxFrames                            = 3600
	frameInterval policyapi.Microseconds = 1_000_000
	// minFetchInterval limits the load that a terminal causes at the coordinator.
	minFetchInterval = 200 * time.Millisecond
)

// topFlags holds the flags of the top command.
type topFlags struct {
	addr     string
	capture  string
	interval time.Duration
	once     bool
}

func topCommand() *cobra.Command {
	flags := &topFlags{}
	cmd := &cobra.Command{
		Use:   "top",
		Short: "Watch a coordinator, or a capture, in the terminal",
		Args:  cobra.NoArgs,
		Long: `top shows the fleet by zone and request class, the endpoints, gateways, service levels and the log of a running coordinator; enter on
an endpoint or gateway shows its details. With --capture it replays a capture directory; left and right step through its seconds. The
coordinator spends at most a hundredth of its time on overviews, however many terminals watch.`,
		Example: `  porthub top --addr 127.0.0.1:7070
  porthub top --capture var/capture
  porthub top --once   # one screen as text, for scripts`,
		RunE: func(cmd *cobra.Command, _ []string) error { return flags.run(cmd.OutOrStdout()) },
	}
	cmd.Flags().StringVar(&flags.addr, "addr", defaultAddr, "address of the coordinator")
	cmd.Flags().StringVar(&flags.capture, "capture", "", "show this capture directory instead of a coordinator")
	cmd.Flags().DurationVar(&flags.interval, "every", time.Second, "refresh interval, at least 200ms")
	cmd.Flags().BoolVar(&flags.once, "once", false, "print the first screen as text and exit")
	return cmd
}

func (f *topFlags) run(out io.Writer) error {
	if f.interval < minFetchInterval {
		return fmt.Errorf("--every %v: it must be at least %v", f.interval, minFetchInterval)
	}
	source, err := f.source()
	if err != nil {
		return err
	}
	model := tui.New(source, f.interval)
	if f.once {
		return drawOnce(out, model)
	}
	if _, err := tea.NewProgram(model).Run(); err != nil {
		return fmt.Errorf("%w: %w", daemon.ErrEnvironment, err)
	}
	return nil
}

func (f *topFlags) source() (tui.Source, error) {
	if f.capture == "" {
		return tui.NewLive(f.addr), nil
	}
	frames, err := readFrames(f.capture)
	if err != nil {
		return nil, err
	}
	return tui.NewRecorded(f.capture, frames), nil
}

// drawOnce prints the screen after the first fetch, as text without control sequences.
func drawOnce(out io.Writer, model tui.Model) error {
	next, _ := model.Update(model.Init()())
	fetched, ok := next.(tui.Model)
	if !ok {
		return errors.New("the terminal view returned a model of an unexpected type")
	}
	_, err := fmt.Fprintln(out, ansi.Strip(fetched.Draw(time.Now())))
	return err
}

// readFrames replays a capture and returns one frame for each second, at most maxFrames.
func readFrames(dir string) (frames []tui.Frame, err error) {
	if _, err := os.Stat(dir); err != nil {
		return nil, err
	}
	reader, err := capture.Open(dir)
	if err != nil {
		return nil, err
	}
	defer reader.Close()
	recorder := &frameRecorder{}
	_, err = capture.Replay(reader, "", recorder.step)
	return recorder.frames, err
}

// frameRecorder collects the frames of a replay.
type frameRecorder struct {
	frames []tui.Frame
	log    []coordinator.LogRecord // the last records, of at least level info
	last   policyapi.Microseconds  // time of the last frame
}

// step processes one record of the replay. It returns false, which ends the replay, once there are maxFrames frames.
func (r *frameRecorder) step(record *capture.Record, core *coordinator.Core, outputs []coordinator.Output) bool {
	if record.Step == nil || core == nil {
		return true
	}
	now := record.Step.Now
	for _, output := range outputs {
		if entry, ok := output.(coordinator.LogEntry); ok && entry.Level > coordinator.LogDebug {
			r.log = coordinator.AppendLog(r.log, now, entry)
		}
	}
	if now-r.last >= frameInterval {
		r.last = now
		r.frames = append(r.frames, tui.Frame{Overview: core.Overview(), Log: r.log})
	}
	return len(r.frames) < maxFrames
}
