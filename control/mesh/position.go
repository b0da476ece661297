package mesh

import "cmp"

// StorePosition is a point in the history of the platform's store. The store counts an
// era up when it comes back from a copy; its revisions are lower then and are given out
// again. The zero value is before all others.
type StorePosition struct {
	Era      uint64 // 0 if the store names none
	Revision uint64
}

// Compare returns -1 if p is before q, 0 if they are equal and +1 if p is after q.
func (p StorePosition) Compare(q StorePosition) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Revision, q.Revision))
}
