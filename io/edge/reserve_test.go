package edge

import (
	"testing"
	"time"

	"verbenagate/core/drain"
)

// Guards against a stop whose last steps, after the connections of callers have been closed, take longer than the grace period.
func TestLastStepsFitIntoGracePeriod(t *testing.T) {
	const grace = 6 * time.Second
	now := time.Unix(1000, 0)
	plan := drain.NewPlan(now, grace)
	if left := now.Add(grace).Sub(plan.CloseAt()); leaveTimeout+lastAnswerTimeout+backgroundTimeout > left {
		t.Fatalf("the last steps may take %s, and %s are left", leaveTimeout+lastAnswerTimeout+backgroundTimeout, left)
	}
}
