package soak

import "testing"

// Guards against two runs at the same time that use the same addresses.
func TestConcurrentRunsUseDifferentNetworks(t *testing.T) {
	first, err := ClaimNetwork()
	if err != nil {
		t.Fatal(err)
	}
	defer first.Release()
	second, err := ClaimNetwork()
	if err != nil {
		t.Fatal(err)
	}
	defer second.Release()
	if first.octet == second.octet {
		t.Errorf("both runs use octet %d", first.octet)
	}
}
