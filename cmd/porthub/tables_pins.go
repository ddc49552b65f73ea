package main

import (
	"errors"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"porthub/daemon"
	"porthub/policyapi"
	"porthub/routing"
)

// pinScope holds the flags for the scope of a pin, and the reason for it.
type pinScope struct {
	table  int
	zone   string
	fleet  bool
	reason string
}

func (s *pinScope) register(cmd *cobra.Command) {
	cmd.Flags().IntVar(&s.table, "table", 0, "this table")
	cmd.Flags().StringVar(&s.zone, "zone", "", "all tables of a zone's gateways")
	cmd.Flags().BoolVar(&s.fleet, "fleet", false, "all tables")
	reasonFlag(cmd, &s.reason)
}

// request returns the request to pin the scope. Exactly one of --table, --zone and --fleet must be given.
func (s *pinScope) request(cmd *cobra.Command) (daemon.PinRequest, error) {
	request := daemon.PinRequest{Zone: policyapi.Zone(s.zone), Fleet: s.fleet, Reason: s.reason}
	if cmd.Flags().Changed("table") {
		table := policyapi.TableID(s.table)
		request.Table = &table
	}
	given := 0
	for _, set := range []bool{request.Table != nil, s.zone != "", s.fleet} {
		if set {
			given++
		}
	}
	if given != 1 {
		return request, errors.New("specify the scope, one of: --table N, --zone ZONE, --fleet")
	}
	return request, nil
}

// reasonFlag adds the required flag --reason to a command.
func reasonFlag(cmd *cobra.Command, reason *string) {
	cmd.Flags().StringVar(reason, "reason", "", "reason, written to the log")
	_ = cmd.MarkFlagRequired("reason")
}

func sendPin(cmd *cobra.Command, addr, path string, body any) error {
	var response daemon.PinResponse
	if err := call(cmd, addr, path, body, &response); err != nil {
		return err
	}
	if response.Error != "" {
		return errors.New(response.Error)
	}
	fmt.Fprintf(cmd.OutOrStdout(), "pin %d of %s: %s\n", response.Pin.ID, response.Pin.Scope, response.Pin.Reason)
	return nil
}

func pinCommand(addr *string) *cobra.Command {
	scope := &pinScope{}
	cmd := &cobra.Command{
		Use:     "pin",
		Short:   "Pin a table, a zone's tables or all tables to the current version",
		Args:    cobra.NoArgs,
		Example: `  porthub tables pin --fleet --reason "rate decision at noon"`,
		RunE: func(cmd *cobra.Command, _ []string) error {
			request, err := scope.request(cmd)
			if err != nil {
				return err
			}
			return sendPin(cmd, *addr, "/tables/pin", request)
		},
	}
	scope.register(cmd)
	return cmd
}

func rollbackCommand(addr *string) *cobra.Command {
	scope := &pinScope{}
	var version uint64
	var ago time.Duration
	cmd := &cobra.Command{
		Use:   "rollback",
		Short: "Pin tables to an earlier version; the rules still apply to it",
		Args:  cobra.NoArgs,
		Example: `  porthub tables rollback --table 4 --version 17 --reason "worse since"
  porthub tables rollback --fleet --ago 10m --reason "worse since"`,
		RunE: func(cmd *cobra.Command, _ []string) error {
			request, err := scope.request(cmd)
			if err != nil {
				return err
			}
			if (version == 0) == (ago == 0) {
				return errors.New("specify one of: --version N of a table, --ago DURATION")
			}
			request.Version = routing.Version(version)
			request.Ago = policyapi.Microseconds(ago.Microseconds())
			return sendPin(cmd, *addr, "/tables/pin", request)
		},
	}
	scope.register(cmd)
	cmd.Flags().Uint64Var(&version, "version", 0, "version of the table")
	cmd.Flags().DurationVar(&ago, "ago", 0, "pin the versions that were current this long ago")
	return cmd
}

func unpinCommand(addr *string) *cobra.Command {
	var reason string
	cmd := &cobra.Command{
		Use:   "unpin PIN",
		Short: "Remove a pin",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var id int
			if _, err := fmt.Sscan(args[0], &id); err != nil {
				return fmt.Errorf("%q is not the number of a pin: porthub tables list shows them", args[0])
			}
			return sendPin(cmd, *addr, "/tables/unpin", daemon.UnpinRequest{ID: id, Reason: reason})
		},
	}
	reasonFlag(cmd, &reason)
	return cmd
}
