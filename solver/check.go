package solver

import (
	"errors"
	"fmt"
	"math"
)

// ErrInvalidFleet is wrapped by the errors that Fleet.Check returns.
var ErrInvalidFleet = errors.New("invalid fleet")

// Check returns an error that wraps ErrInvalidFleet if the fleet is malformed. Implausible capacities and costs, such as NaN, are
// not errors: Solve replaces them and lists the endpoints whose capacity it replaced in the certificate.
func (f Fleet) Check() error {
	if len(f.Endpoints) == 0 || len(f.Classes) == 0 {
		return fmt.Errorf("%w: nodes and kinds need at least one entry each, got %d and %d", ErrInvalidFleet, len(f.Endpoints), len(f.Classes))
	}
	for i := range f.Endpoints {
		if err := f.checkEndpoint(i); err != nil {
			return err
		}
	}
	for i, c := range f.Classes {
		if !(c.PriorityWeight > 0) || math.IsInf(c.PriorityWeight, 0) {
			return fmt.Errorf("%w: kinds[%d] %s: payoff is %v, must be finite and above 0", ErrInvalidFleet, i, c.Name, c.PriorityWeight)
		}
	}
	for i := range f.Consumers {
		if err := f.checkConsumer(i); err != nil {
			return err
		}
	}
	return nil
}

func (f Fleet) checkEndpoint(i int) error {
	e := &f.Endpoints[i]
	if len(e.Cost) != 0 && len(e.Cost) != len(f.Classes) {
		return fmt.Errorf("%w: nodes[%d] %s: cost has %d entries for %d kinds", ErrInvalidFleet, i, e.Name, len(e.Cost), len(f.Classes))
	}
	if len(e.Failing) != 0 && len(e.Failing) != len(f.Classes) {
		return fmt.Errorf("%w: nodes[%d] %s: failing has %d entries for %d kinds", ErrInvalidFleet, i, e.Name, len(e.Failing), len(f.Classes))
	}
	return nil
}

func (f Fleet) checkConsumer(i int) error {
	c := &f.Consumers[i]
	if len(c.Demand) != len(f.Classes) || len(c.Desired) > len(f.Classes) || len(c.Pod) != 0 && len(c.Pod) != len(f.Classes) {
		return fmt.Errorf("%w: users[%d] %s: demand and pod need one entry for each kind, want at most one", ErrInvalidFleet, i, c.Name)
	}
	for class, rate := range c.Demand {
		if !isAmount(rate) {
			return fmt.Errorf("%w: users[%d] %s: demand[%d] is %v, must be finite and 0 or more", ErrInvalidFleet, i, c.Name, class, rate)
		}
	}
	for class, shares := range c.Desired {
		for _, share := range shares {
			if share.Endpoint < 0 || share.Endpoint >= len(f.Endpoints) || !isAmount(share.Weight) {
				return fmt.Errorf("%w: users[%d] %s: want[%d] has node %d with weight %v; the node must exist, the weight must be finite and 0 or more",
					ErrInvalidFleet, i, c.Name, class, share.Endpoint, share.Weight)
			}
		}
	}
	return nil
}

// isAmount reports whether v is finite and at least 0.
func isAmount(v float64) bool { return v >= 0 && !math.IsInf(v, 0) }
