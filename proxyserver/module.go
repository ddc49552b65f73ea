package proxyserver

import (
	"fmt"
	"runtime/debug"

	"go.uber.org/zap"

	"porthub/policy"
	"porthub/policyapi"
)

// second is a second in the units of policyapi.
const second policyapi.Microseconds = 1_000_000

// moduleFailureWindow is the time after a panic of the decision module within which another panic ends the program. It is long
// enough for the new instance to receive the list and all proxies twice.
const moduleFailureWindow = 10 * second

// policyModule runs the decision module and replaces it after a panic.
type policyModule struct {
	settings  *policyapi.Start
	log       *zap.Logger
	instance  *policy.Instance
	onRestart func() []policyapi.Event // resets the host's state and returns the new instance's first batch

	hasFailed bool
	failedAt  policyapi.Microseconds // time of the last failure, if hasFailed
}

func newPolicyModule(settings *policyapi.Start, log *zap.Logger, onRestart func() []policyapi.Event) *policyModule {
	return &policyModule{settings: settings, log: log, instance: policy.New(*settings), onRestart: onRestart}
}

// step passes the decision module a batch and returns its orders. If the module panics, a new instance takes over, as after a
// restart of the program, but the streams stay connected. A second panic within moduleFailureWindow is an error.
func (m *policyModule) step(now policyapi.Microseconds, batch []policyapi.Event) (orders []policyapi.Order, err error) {
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		m.log.Error("decision module panicked", zap.Any("panic", cause), zap.Any("batch", batch), zap.ByteString("stack", debug.Stack()))
		if m.hasFailed && now-m.failedAt < moduleFailureWindow {
			err = fmt.Errorf("the decision module panicked twice within %d s: %v", moduleFailureWindow/second, cause)
			return
		}
		m.hasFailed = true
		m.failedAt = now
		orders, err = m.step(now, m.restart())
	}()
	return m.instance.Step(now, batch), nil
}

// restart replaces the instance and returns the new one's first batch.
func (m *policyModule) restart() []policyapi.Event {
	failed := m.instance
	m.instance = policy.New(*m.settings)
	if failed != nil {
		m.instance.TakeOver(failed)
	}
	return m.onRestart()
}
