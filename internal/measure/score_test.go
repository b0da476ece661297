package measure

import "testing"

// Guards against figures of the two firms that miss design section 1.3.
func TestScoreMeetsItsTargets(t *testing.T) {
	requireTargets(t, runScore(1))
}
