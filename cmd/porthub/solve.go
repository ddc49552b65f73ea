package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"

	"github.com/spf13/cobra"
	"github.com/tailscale/hujson"

	"porthub/solver"
	"porthub/solver/fleets"
)

// Limits on a solution. If one is exceeded the exit code is 1.
const (
	maxOverload = 1.05 // ratio of load to limit of any endpoint
	maxUnplaced = 1e-3 // fraction of the demand that is not placed although it fits
)

// minLimit is the smallest divisor of a load: an endpoint whose limit is 0 must not cause a division by zero.
const minLimit = 1e-12

// solveFlags holds the flags of the solve command.
type solveFlags struct {
	random  int
	seed    uint64
	asJSON  bool
	explain bool
	oracle  bool
	compare bool
	scale   bool
}

func solveCommand() *cobra.Command {
	flags := &solveFlags{}
	cmd := &cobra.Command{
		Use:   "solve [FLEET.json]",
		Short: "Compute weights that overload no endpoint from capacities, costs and demand",
		Long: `solve reads a fleet (endpoints with capacity and cost by request class, classes with priority weight, consumers with demand and
desired weights) and prints the nearest weights that respect every limit, the admitted share, and a certificate. With --random it draws
that many fleets, all hard cases included, and summarizes the results; --oracle adds the exact optimum of each by a linear program,
--compare other ways of weighting on the same fleets, --scale the growth of time with size.

The exit code is 1 if an endpoint is offered more than 1.05 of its limit, or if demand that fits is not placed.`,
		Example: `  porthub solve examples/fleet.json --explain
  porthub solve --random 1000 --seed 7 --json
  porthub solve --random 1000 --oracle --compare`,
		Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error { return flags.run(cmd.OutOrStdout(), args) },
	}
	cmd.Flags().IntVar(&flags.random, "random", 0, "number of fleets to draw")
	cmd.Flags().Uint64Var(&flags.seed, "seed", 1, "seed of the random draws")
	outputFlag(cmd, &flags.asJSON)
	cmd.Flags().BoolVar(&flags.explain, "explain", false, "print the weights of each consumer and request class, and the reasons")
	cmd.Flags().BoolVar(&flags.oracle, "oracle", false, "also compute the exact optimum of each drawn fleet")
	cmd.Flags().BoolVar(&flags.compare, "compare", false, "also weight the same fleets evenly, by capacity and as desired")
	cmd.Flags().BoolVar(&flags.scale, "scale", false, "measure how time and steps grow with the fleet")
	return cmd
}

func (f *solveFlags) run(out io.Writer, args []string) error {
	switch {
	case f.scale:
		return printJSON(out, fleets.MeasureScale())
	case f.random > 0 && len(args) == 0:
		return f.solveRandom(out)
	case f.random < 0 || len(args) == 0:
		return errors.New("specify a fleet file, or --random N")
	default:
		return f.solveFile(out, args[0])
	}
}

func (f *solveFlags) solveRandom(out io.Writer) error {
	measurement, err := fleets.Measure(f.random, f.seed, f.oracle, f.compare)
	if err != nil {
		return err
	}
	if err := printJSON(out, measurement); err != nil {
		return err
	}
	if measurement.WorstOverload > maxOverload || measurement.Unplaced > maxUnplaced {
		return errCheckFailed
	}
	return nil
}

func (f *solveFlags) solveFile(out io.Writer, path string) error {
	fleet, err := readFleet(path)
	if err != nil {
		return err
	}
	solution := solver.Solve(fleet, nil)
	if f.asJSON {
		err = printJSON(out, solution)
	} else {
		err = printSolution(out, fleet, solution, f.explain)
	}
	if err != nil {
		return err
	}
	if fleets.Overload(fleet, solution) > maxOverload {
		return errCheckFailed
	}
	return nil
}

func readFleet(path string) (fleet solver.Fleet, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return fleet, err
	}
	standard, err := hujson.Standardize(text)
	if err != nil {
		return fleet, fmt.Errorf("%s: %w", path, err)
	}
	if err := json.Unmarshal(standard, &fleet); err != nil {
		return fleet, fmt.Errorf("%s: %w", path, err)
	}
	if err := fleet.Check(); err != nil {
		return fleet, fmt.Errorf("%s: %w", path, err)
	}
	return fleet, nil
}

func printSolution(out io.Writer, fleet solver.Fleet, solution solver.Solution, explain bool) error {
	c := solution.Certificate
	fmt.Fprintf(out, "%s\npriority placed %.4g per second, upper bound %.4g; %d steps, prices left %.2f%% overload before F-NORM\n\n", c.Reason, c.PlacedPriority,
		c.Bound, c.Steps, 100*c.Residual)
	table := newTable(out)
	printSolvedEndpoints(table, fleet, c)
	printConsumers(table, fleet, solution, explain)
	return table.Flush()
}

func printSolvedEndpoints(table io.Writer, fleet solver.Fleet, c solver.Certificate) {
	fmt.Fprintln(table, "ENDPOINT\tZONE\tLIMIT\tLOAD\tUTILIZATION\tPRICE\tNOTE")
	for i, endpoint := range fleet.Endpoints {
		note := endpointNote(fleet, endpoint, slices.Contains(c.GuessedCapacities, i))
		fmt.Fprintf(table, "%s\t%s\t%.4g\t%.4g\t%.0f%%\t%.3g\t%s\n", endpoint.Name, endpoint.Zone, c.Limit[i], c.Load[i],
			100*c.Load[i]/max(c.Limit[i], minLimit), c.Prices[i], note)
	}
}

// endpointNote describes what is unusual about an endpoint; it is empty if nothing is.
func endpointNote(fleet solver.Fleet, endpoint solver.Endpoint, guessedCapacity bool) (note string) {
	switch {
	case guessedCapacity:
		note = "its stated capacity is implausible: the median is used"
	case endpoint.Closed:
		note = "closed"
	case endpoint.Limit > 0 && endpoint.Limit < 1:
		note = fmt.Sprintf("warming up: %.2f of its capacity", endpoint.Limit)
	}
	for class, settings := range fleet.Classes {
		if len(endpoint.Failing) > 0 && endpoint.Failing[class] {
			note += " fails " + settings.Name
		}
	}
	return note
}

func printConsumers(table io.Writer, fleet solver.Fleet, solution solver.Solution, explain bool) {
	fmt.Fprintln(table, "\nCONSUMER\tCLASS\tDEMAND\tADMITTED\tENDPOINTS")
	for u, consumer := range fleet.Consumers {
		for k, class := range fleet.Classes {
			if consumer.Demand[k] <= 0 {
				continue
			}
			fmt.Fprintf(table, "%s\t%s\t%.4g\t%.1f%%\t", consumer.Name, class.Name, consumer.Demand[k], 100*solution.Admit[u][k])
			if !explain {
				fmt.Fprintln(table, len(solution.Weights[u][k]))
				continue
			}
			for _, line := range solution.Weights[u][k] {
				fmt.Fprintf(table, "%s %.3f  ", fleet.Endpoints[line.Endpoint].Name, line.Weight)
			}
			fmt.Fprintln(table)
		}
	}
}
