package mesh

import "testing"

func TestRevisionsOfALaterEraAreNewer(t *testing.T) {
	before, after := StorePosition{Era: 1, Revision: 900}, StorePosition{Era: 2, Revision: 12}
	if before.Compare(after) != -1 || after.Compare(before) != 1 || after.Compare(after) != 0 {
		t.Errorf("%v is not before %v", before, after)
	}
	if earlier := (StorePosition{Era: 2, Revision: 11}); earlier.Compare(after) != -1 {
		t.Errorf("%v is not before %v", earlier, after)
	}
}
