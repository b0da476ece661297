package measure

import "testing"

// Guards against key figures of the two deployments that miss the targets of design
// section 1.3.
func TestScoreMeetsItsTargets(t *testing.T) {
	requireTargets(t, runScore(1))
}
