package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/spf13/cobra"
	"github.com/tailscale/hujson"

	"porthub/solver"
	"porthub/solver/fleets"
)

func solveCommand() *cobra.Command {
	var (
		random          int
		seed            uint64
		asJSON, explain bool
		oracle, compare bool
		scale           bool
	)
	cmd := &cobra.Command{
		Use:   "solve [FLEET.json]",
		Short: "Turn capacities, costs and demand into weights that nobody is crushed by",
		Long: `solve reads a fleet (nodes with capacity and cost by kind, kinds with payoff, users with demand and the weights wanted)
and prints the nearest weights that keep every limit, what is let in, and a certificate. With --random it draws that
many fleets, every hard case among them, and sums what came of them; --oracle adds the exact optimum of each by a
linear program, --compare other ways of filling tables on the same fleets, --scale how time grows with size.

Exit 1: a node is offered more than 1.05 of its limit, or something that fits is not placed.`,
		Example: `  porthub solve examples/fleet.json --explain
  porthub solve --random 1000 --seed 7 --json
  porthub solve --random 1000 --oracle --compare`,
		Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			out := cmd.OutOrStdout()
			switch {
			case scale:
				return printJSON(out, fleets.MeasureScale())
			case random > 0 && len(args) == 0:
				m, err := fleets.Measure(random, seed, oracle, compare)
				if err != nil {
					return err
				}
				if err := printJSON(out, m); err != nil {
					return err
				}
				if m.WorstOverload > 1.05 || m.Unplaced > 1e-3 {
					return errCheckFailed
				}
				return nil
			case random < 0 || len(args) == 0:
				return errors.New("name a fleet's file, or --random N")
			}
			f, err := readFleet(args[0])
			if err != nil {
				return err
			}
			s := solver.Solve(f, nil)
			if asJSON {
				if err := printJSON(out, s); err != nil {
					return err
				}
			} else if err := printSolution(out, f, s, explain); err != nil {
				return err
			}
			if fleets.Overload(f, s) > 1.05 {
				return errCheckFailed
			}
			return nil
		},
	}
	cmd.Flags().IntVar(&random, "random", 0, "draw so many fleets")
	cmd.Flags().Uint64Var(&seed, "seed", 1, "of the draws")
	outputFlag(cmd, &asJSON)
	cmd.Flags().BoolVar(&explain, "explain", false, "say for each node and kind what was done and why")
	cmd.Flags().BoolVar(&oracle, "oracle", false, "find the exact optimum of each drawn fleet as well")
	cmd.Flags().BoolVar(&compare, "compare", false, "fill the same fleets by even weights, by capacity and as wanted")
	cmd.Flags().BoolVar(&scale, "scale", false, "measure how time and steps grow with the fleet")
	return cmd
}

func printJSON(out io.Writer, v any) error {
	e := json.NewEncoder(out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

func readFleet(path string) (f solver.Fleet, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return f, err
	}
	plain, err := hujson.Standardize(text)
	if err != nil {
		return f, fmt.Errorf("%s: %w", path, err)
	}
	if err := json.Unmarshal(plain, &f); err != nil {
		return f, fmt.Errorf("%s: %w", path, err)
	}
	if err := f.Check(); err != nil {
		return f, fmt.Errorf("%s: %w", path, err)
	}
	return f, nil
}

func printSolution(out io.Writer, f solver.Fleet, s solver.Solution, explain bool) error {
	c := s.Certificate
	fmt.Fprintf(out, "%s\npayoff %.4g a second, at most %.4g is possible; %d steps, prices left %.2f%% too much before F-NORM\n\n", c.Reason, c.PlacedPriority,
		c.Bound, c.Steps, 100*c.Residual)
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "NODE\tZONE\tLIMIT\tLOAD\tUSED\tPRICE\tNOTE")
	for j, n := range f.Endpoints {
		note := ""
		switch {
		case n.Closed:
			note = "closed"
		case n.Limit > 0 && n.Limit < 1:
			note = fmt.Sprintf("cold: %.2f of its capacity", n.Limit)
		}
		for _, g := range c.GuessedCapacities {
			if g == j {
				note = "its stated capacity makes no sense: taken as the median"
			}
		}
		for k := range f.Classes {
			if len(n.Failing) > 0 && n.Failing[k] {
				note += " fails " + f.Classes[k].Name
			}
		}
		fmt.Fprintf(w, "%s\t%s\t%.4g\t%.4g\t%.0f%%\t%.3g\t%s\n", n.Name, n.Zone, c.Limit[j], c.Load[j], 100*c.Load[j]/max(c.Limit[j], 1e-12),
			c.Prices[j], note)
	}
	fmt.Fprintln(w, "\nUSER\tKIND\tDEMAND\tLET IN\tLINES")
	for u, user := range f.Consumers {
		for k, kind := range f.Classes {
			if user.Demand[k] <= 0 {
				continue
			}
			fmt.Fprintf(w, "%s\t%s\t%.4g\t%.1f%%\t", user.Name, kind.Name, user.Demand[k], 100*s.Admit[u][k])
			if explain {
				for _, l := range s.Weights[u][k] {
					fmt.Fprintf(w, "%s %.3f  ", f.Endpoints[l.Endpoint].Name, l.Weight)
				}
			} else {
				fmt.Fprint(w, len(s.Weights[u][k]))
			}
			fmt.Fprintln(w)
		}
	}
	return w.Flush()
}
