package main

import (
	"errors"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"porthub/daemon"
	"porthub/degradation"
	"porthub/policyapi"
)

// levelSetFlags holds the flags of the levels set command.
type levelSetFlags struct {
	zone     string
	duration time.Duration
	forbid   bool
	hold     bool
	reason   string
}

func levelSetCommand(addr *string) *cobra.Command {
	flags := &levelSetFlags{}
	cmd := &cobra.Command{
		Use:   "set [LEVEL]",
		Short: "Force, forbid or hold a service level for a limited time",
		Args:  cobra.MaximumNArgs(1),
		Example: `  porthub levels set tight --for 30m --reason "rate decision at noon"
  porthub levels set hard --forbid --for 2h --reason "it has cost too much"
  porthub levels set --hold --zone hala-a --for 10m --reason "under investigation"`,
		RunE: func(cmd *cobra.Command, args []string) error {
			request, err := flags.request(args)
			if err != nil {
				return err
			}
			return sendLevel(cmd, *addr, "/levels/say", request)
		},
	}
	cmd.Flags().StringVar(&flags.zone, "zone", "", "limit the override to this zone; empty: the fleet")
	cmd.Flags().DurationVar(&flags.duration, "for", 0, "duration of the override, at most 24h")
	cmd.Flags().BoolVar(&flags.forbid, "forbid", false, "do not enter this level or a more severe one")
	cmd.Flags().BoolVar(&flags.hold, "hold", false, "stay at the current level")
	reasonFlag(cmd, &flags.reason)
	_ = cmd.MarkFlagRequired("for")
	return cmd
}

func (f *levelSetFlags) request(args []string) (daemon.LevelRequest, error) {
	request := daemon.LevelRequest{
		Action:   degradation.ForceLevel,
		Zone:     policyapi.Zone(f.zone),
		Duration: policyapi.Microseconds(f.duration.Microseconds()),
		Reason:   f.reason,
	}
	switch {
	case f.forbid && f.hold:
		return request, errors.New("--forbid and --hold exclude each other: use one of them")
	case f.forbid:
		request.Action = degradation.ForbidLevel
	case f.hold:
		request.Action = degradation.HoldLevel
	}
	if f.hold != (len(args) == 0) {
		return request, errors.New("a level is required to force or forbid it; --hold takes none")
	}
	if len(args) > 0 {
		request.Level = args[0]
	}
	return request, nil
}

func levelClearCommand(addr *string) *cobra.Command {
	var request daemon.ClearLevelRequest
	cmd := &cobra.Command{
		Use:   "clear OVERRIDE",
		Short: "Clear an override",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if _, err := fmt.Sscan(args[0], &request.ID); err != nil {
				return fmt.Errorf("%q is not the number of an override: porthub levels lists them", args[0])
			}
			return sendLevel(cmd, *addr, "/levels/unsay", request)
		},
	}
	reasonFlag(cmd, &request.Reason)
	return cmd
}

func sendLevel(cmd *cobra.Command, addr, path string, request any) error {
	var response daemon.LevelResponse
	if err := call(cmd, addr, path, request, &response); err != nil {
		return err
	}
	if response.Error != "" {
		return errors.New(response.Error)
	}
	override := response.Override
	fmt.Fprintf(cmd.OutOrStdout(), "override %d: %s in %q: %s\n", override.ID, override.Action, override.Zone, override.Reason)
	return nil
}
