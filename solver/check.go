package solver

import (
	"errors"
	"fmt"
	"math"
)

// ErrInvalidFleet is wrapped by the errors of Check.
var ErrInvalidFleet = errors.New("invalid fleet")

// Check returns an error that wraps ErrInvalidFleet if a fleet is malformed. Implausible values, such as a capacity that is
// not a number, are no error: Solve reports how it took them.
func (f Fleet) Check() error {
	if len(f.Endpoints) == 0 || len(f.Classes) == 0 {
		return fmt.Errorf("%w: it needs nodes and kinds, and has %d and %d", ErrInvalidFleet, len(f.Endpoints), len(f.Classes))
	}
	for i := range f.Endpoints {
		if err := f.checkEndpoint(i); err != nil {
			return err
		}
	}
	for i, c := range f.Classes {
		if !(c.PriorityWeight > 0) || math.IsInf(c.PriorityWeight, 0) {
			return fmt.Errorf("%w: kinds[%d] %s: payoff %v must be above 0", ErrInvalidFleet, i, c.Name, c.PriorityWeight)
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
		return fmt.Errorf("%w: nodes[%d] %s: %d costs for %d kinds", ErrInvalidFleet, i, e.Name, len(e.Cost), len(f.Classes))
	}
	if len(e.Failing) != 0 && len(e.Failing) != len(f.Classes) {
		return fmt.Errorf("%w: nodes[%d] %s: %d entries of failing for %d kinds", ErrInvalidFleet, i, e.Name, len(e.Failing), len(f.Classes))
	}
	return nil
}

func (f Fleet) checkConsumer(i int) error {
	c := &f.Consumers[i]
	if len(c.Demand) != len(f.Classes) || len(c.Desired) > len(f.Classes) || len(c.Pod) != 0 && len(c.Pod) != len(f.Classes) {
		return fmt.Errorf("%w: users[%d] %s: demand, want and pod need one entry for each kind", ErrInvalidFleet, i, c.Name)
	}
	for class, rate := range c.Demand {
		if !isAmount(rate) {
			return fmt.Errorf("%w: users[%d] %s: demand[%d] is %v", ErrInvalidFleet, i, c.Name, class, rate)
		}
	}
	for class, shares := range c.Desired {
		for _, share := range shares {
			if share.Endpoint < 0 || share.Endpoint >= len(f.Endpoints) || !isAmount(share.Weight) {
				return fmt.Errorf("%w: users[%d] %s: want[%d] names node %d with weight %v", ErrInvalidFleet, i, c.Name, class, share.Endpoint, share.Weight)
			}
		}
	}
	return nil
}

// isAmount reports whether v is a finite number of at least 0.
func isAmount(v float64) bool { return v >= 0 && !math.IsInf(v, 0) }
