package prepaid

import (
	"context"
	"time"
)

// roundPause returns the time until the next timed round.
func (m *Manager) roundPause() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.tableReachable {
		return max(outageProbeInterval, m.lastCallDuration)
	}
	return max(settleInterval, time.Duration(m.homeHolders())*settleIntervalPerHolder, pauseLatencyFactor*m.lastCallDuration)
}

// nextCallTimeout returns the timeout of the next call to the table.
func (m *Manager) nextCallTimeout() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.callTimeout()
}

// callTimeout is nextCallTimeout with m.mu held.
func (m *Manager) callTimeout() time.Duration {
	timeout := max(minCallTimeout, timeoutLatencyFactor*m.lastSuccessDuration, recentLatencyFactor*m.recentDuration)
	switch m.consecutiveTimeouts {
	case 0:
	case 1:
		timeout = max(timeout, secondCallTimeout)
	default:
		timeout = maxCallTimeout
	}
	return min(timeout, maxCallTimeout)
}

// recordCall records the result and duration of a call to the table. m.mu is held.
func (m *Manager) recordCall(ctx context.Context, start time.Time, err error) {
	m.tableReachable = err == nil
	m.consecutiveTimeouts++
	if ctx.Err() == nil {
		m.consecutiveTimeouts = 0
	}
	if err == nil {
		m.lastSuccessDuration = m.opt.Clock().Sub(start)
	}
	m.lastCallEnd = m.opt.Clock()
	if err != nil {
		m.lastFailureAt = m.lastCallEnd
	}
	m.lastCallDuration, m.callStart = m.lastCallEnd.Sub(start), time.Time{}
	m.recentDuration = time.Duration(recentDurationDecay * float64(m.recentDuration))
	if err == nil { // a call that got no answer lasted as long as it was let
		m.recentDuration = max(m.lastCallDuration, m.recentDuration)
	}
}

// startCall records and returns the start of a call to the table.
func (m *Manager) startCall() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.callStart = m.opt.Clock()
	return m.callStart
}

// expectedDelay returns the least time that an exchange with the table is expected
// to take, 0 if there is no recent call to judge by. m.mu is held.
func (m *Manager) expectedDelay() (d time.Duration) {
	now := m.opt.Clock()
	if now.Sub(m.lastCallEnd) < latencyValidFor {
		d = m.lastCallDuration
	}
	if !m.callStart.IsZero() {
		took := now.Sub(m.callStart)
		if timeout := m.callTimeout(); m.consecutiveTimeouts == 0 && timeout == minCallTimeout {
			took = min(took, max(timeout-took, 0)) // the next call may take another path
		}
		d = max(d, took)
	}
	return d
}
