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

// maxFrames bounds what top keeps of a capture: an hour, a moment a second.
const maxFrames = 3600

func topCommand() *cobra.Command {
	var addr, dir string
	var every time.Duration
	var once bool
	cmd := &cobra.Command{Use: "top", Short: "Watch a coordinator, or a capture, in the terminal", Args: cobra.NoArgs,
		Long: `top shows the fleet by hall and kind, nodes, gateways, levels and the log of a running coordinator; enter on a node or gateway says
what is known of it. With --capture it replays a folder of captures and goes through its seconds with left and right. The
coordinator spends a hundredth of its time on overviews at most, however many look.`,
		Example: `  porthub top --addr 127.0.0.1:7070
  porthub top --capture var/capture
  porthub top --once   # one screen as text, for scripts`,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if every < 200*time.Millisecond {
				return errors.New("--every: 200ms at least")
			}
			var source tui.Source = tui.NewLive(addr)
			if dir != "" {
				moments, err := readFrames(dir)
				if err != nil {
					return err
				}
				source = tui.NewRecorded(dir, moments)
			}
			m := tui.New(source, every)
			if once {
				return drawOnce(cmd.OutOrStdout(), m)
			}
			if _, err := tea.NewProgram(m).Run(); err != nil {
				return fmt.Errorf("%w: %w", daemon.ErrEnvironment, err)
			}
			return nil
		}}
	cmd.Flags().StringVar(&addr, "addr", "127.0.0.1:7070", "the coordinator's address")
	cmd.Flags().StringVar(&dir, "capture", "", "a folder of captures in place of a coordinator")
	cmd.Flags().DurationVar(&every, "every", time.Second, "how often it looks")
	cmd.Flags().BoolVar(&once, "once", false, "print the first screen as text and end")
	return cmd
}

// drawOnce draws what a first look shows.
func drawOnce(out io.Writer, m tui.Model) error {
	next, _ := m.Update(m.Init()())
	shown, is := next.(tui.Model)
	if !is {
		return errors.New("the screen has gone")
	}
	_, err := fmt.Fprintln(out, ansi.Strip(shown.Draw(time.Now())))
	return err
}

// readFrames replays a capture and keeps a moment of each second.
func readFrames(dir string) (moments []tui.Frame, err error) {
	if _, err := os.Stat(dir); err != nil {
		return nil, err
	}
	r, err := capture.Open(dir)
	if err != nil {
		return nil, err
	}
	defer r.Close()
	var tail []coordinator.LogRecord
	last := policyapi.Microseconds(0)
	_, err = capture.Replay(r, "", func(rec *capture.Record, core *coordinator.Core, outputs []coordinator.Output) bool {
		if rec.Step == nil || core == nil {
			return true
		}
		for _, o := range outputs {
			if n, is := o.(coordinator.LogEntry); is && n.Level > coordinator.LogDebug {
				tail = coordinator.AppendLog(tail, rec.Step.Now, n)
			}
		}
		if rec.Step.Now-last >= 1_000_000 {
			last = rec.Step.Now
			moments = append(moments, tui.Frame{Overview: core.Overview(), Log: tail})
		}
		return len(moments) < maxFrames
	})
	return moments, err
}
