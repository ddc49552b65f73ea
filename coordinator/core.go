package coordinator

import (
	"fmt"

	"porthub/policy"
	"porthub/policyapi"
	"porthub/recovery"
	"porthub/routing"
)

// Core is the state of one coordinator. Its zero value is not usable: call New. It is not safe for concurrent use; one
// goroutine owns it.
type Core struct {
	settings Settings
	policy   *policy.Instance

	now       microseconds // time of the last step
	startedAt microseconds // time of the first step
	steps     uint64
	timers    timerQueue
	orders    []policyapi.Order // by the decision module in the last step
	outbox    outbox
	warnings  warningLog

	endpoints  endpointStore
	membership membershipState
	gateways   gatewaySet
	tables     policyTables
	clusters   clusterCache // valid within a step, as long as no endpoint changes
	versions   *routing.VersionStore
	acks       ackMonitor

	reports     reportState
	solver      *solverState      // nil if the solver is disabled
	degradation *degradationState // nil if no levels of service are configured
	recovered   *recovery.State   // state of an earlier process; nil if none was restored
}

// New returns a core that has not taken a step. To continue from an earlier process, pass its state to Restore and its saved
// endpoint list to Step as the first input.
func New(settings Settings) *Core {
	c := &Core{
		settings:    settings,
		policy:      policy.New(policyStart(settings.Start)),
		warnings:    warningLog{},
		endpoints:   newEndpointStore(),
		membership:  newMembershipState(settings),
		gateways:    newGatewaySet(),
		tables:      newPolicyTables(),
		clusters:    clusterCache{},
		versions:    routing.NewVersionStore(maxVersions, maxVersionAge),
		reports:     newReportState(settings),
		degradation: newDegradationState(settings.Degradation),
	}
	if settings.SolverEnabled {
		c.solver = newSolverState(len(settings.Start.Classes))
	}
	return c
}

// Step applies the inputs that have arrived by now, in microseconds, and returns the outputs for the caller to carry out, in
// order. Time does not go backward: a now that is earlier than in the last step is replaced by the last one, so a clock that
// is set back can't undo a decision.
func (c *Core) Step(now policyapi.Microseconds, inputs []Input) []Output {
	c.now = max(c.now, now)
	c.steps++
	if c.steps == 1 {
		c.startedAt = c.now
	}
	c.orders = nil
	c.outbox.begin()
	clear(c.clusters)
	var events []policyapi.Event
	for _, in := range inputs {
		events = append(events, c.handleInput(in)...)
	}
	clear(c.clusters) // an input may have closed endpoints
	events = append(events, c.stepMembershipIfDue()...)
	c.releaseHealthChecks()
	events = append(events, c.checkGateways()...)
	c.stepPolicy(events)
	c.warnings.flush(c.now, &c.outbox)
	return c.outbox.outputs
}

// stepPolicy passes events and expired timers to the decision module, and then the events that result from its orders, until
// there are none left. In the first step of the core, the module is stepped even without events.
func (c *Core) stepPolicy(events []policyapi.Event) {
	for {
		if fired := c.timers.fire(c.now); len(fired) > 0 {
			events = append(events, c.flushReports()...)
			events = append(events, fired...)
		}
		if len(events) == 0 && c.steps > 1 {
			return
		}
		orders := c.policy.Step(c.now, events)
		c.orders = append(c.orders, orders...)
		events = c.applyOrders(orders)
		if len(events) == 0 {
			return
		}
	}
}

// handleInput applies an input and returns the resulting events for the decision module.
func (c *Core) handleInput(in Input) []policyapi.Event {
	switch in := in.(type) {
	case EndpointUpdate:
		return c.handleEndpointUpdate(in)
	case RegistryUpdate:
		return c.handleRegistryUpdate(in)
	case GatewayConnected:
		return c.handleConnect(in)
	case GatewayDisconnected:
		return c.handleDisconnect(in)
	case DocumentAck:
		return c.handleAck(in)
	case LoadReport:
		c.handleReport(in)
	case HealthCheckResult:
		if _, ok := c.endpoints.entries[in.Endpoint]; ok {
			return []policyapi.Event{in.HealthCheckResult}
		}
	case PeerRejected:
		entry := LogEntry{Level: LogWarn, Event: eventInvalidInput, Text: fmt.Sprintf("%s rejected: %s", in.From, in.Reason)}
		c.warnings.add(entry, in.Count)
	case PublishFailed:
		c.warn(eventPublishFailed, in.Gateway, "%s", in.Reason)
	default:
		panic(fmt.Sprintf("coordinator: unknown type of input: %T", in))
	}
	return nil
}

// NextDeadline returns the time, in microseconds, by which Step must be called again even if no input arrives.
func (c *Core) NextDeadline() policyapi.Microseconds {
	next := min(c.now+second, c.gateways.nextCheckAt)
	return max(c.timers.next(next), c.now)
}

// Now returns the time of the last step.
func (c *Core) Now() policyapi.Microseconds { return c.now }

// Steps returns the number of steps taken. In the log it identifies the step that failed, and thereby its inputs.
func (c *Core) Steps() uint64 { return c.steps }

// Orders returns the decision module's orders of the last step, for callers that compare or record them.
func (c *Core) Orders() []policyapi.Order { return c.orders }

// ClassName returns the name of a request class.
func (c *Core) ClassName(class policyapi.RequestClass) string {
	return c.settings.Start.Classes[class].Name
}

func (c *Core) classNames() (names []string) {
	for _, class := range c.settings.Start.Classes {
		names = append(names, class.Name)
	}
	return names
}
