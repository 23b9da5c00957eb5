package failover

// record makes another controller the holder of a group's workers.
type record struct {
	successor Holder
	revision  uint64
}

// Table holds the records. The zero value is not usable; see NewTable.
type Table struct {
	appliedRevision uint64
	applied         map[Group]record
	pending         map[Group]record // newer than the revision up to which the mirror is complete
}

// NewTable makes a table without records.
func NewTable() *Table {
	return &Table{applied: map[Group]record{}, pending: map[Group]record{}}
}

// Put takes a group's record, and tells whether the holder of a worker may have changed by it.
// One that is newer than the mirror is complete is pending until Advance reaches it.
func (t *Table) Put(g Group, successor Holder, revision uint64) bool {
	if revision > t.appliedRevision {
		t.pending[g] = record{successor, revision}
		return false
	}
	t.applied[g] = record{successor, revision}
	return true
}

// Delete takes that a group's record is gone, and tells whether the holder of a worker may have
// changed by it.
func (t *Table) Delete(g Group) bool {
	delete(t.pending, g)
	_, existed := t.applied[g]
	delete(t.applied, g)
	return existed
}

// Advance takes up to which revision the mirror is complete, and returns the groups whose
// records are applied from now on, in no order.
func (t *Table) Advance(revision uint64) (applied []Group) {
	t.appliedRevision = max(t.appliedRevision, revision)
	for g, r := range t.pending {
		if r.revision <= t.appliedRevision {
			t.applied[g] = r
			delete(t.pending, g)
			applied = append(applied, g)
		}
	}
	return applied
}

// Pending tells whether a record of the group is known and not applied yet.
func (t *Table) Pending(g Group) bool {
	_, ok := t.pending[g]
	return ok
}

// Resolve tells who holds a worker whose own claim is given.
func (t *Table) Resolve(worker, zone string, own Claim) Ownership {
	o := Ownership{Claim: own}
	for o.Epoch > 0 {
		g := GroupOf(o.Holder, worker, zone)
		r := t.applied[g]
		o.Links = append(o.Links, Link{g, r.revision})
		if r.revision <= o.Token {
			break // none, or older than the claim
		}
		o.Claim = Claim{r.successor, r.revision}
	}
	return o
}

// NextEpoch is the epoch of an incarnation's next claims: above that of all its groups that have
// failed over, by records that are applied or pending.
func (t *Table) NextEpoch(node string, incarnation int64) int {
	epoch := 1
	for _, records := range []map[Group]record{t.applied, t.pending} {
		for g := range records {
			if g.Node == node && g.Incarnation == incarnation {
				epoch = max(epoch, g.Epoch+1)
			}
		}
	}
	return epoch
}

// Unused lists the groups whose applied records no worker's holder stands on, in no order. inUse
// has every group in the links of every worker.
func (t *Table) Unused(inUse map[Group]bool) (unused []Group) {
	for g := range t.applied {
		if !inUse[g] {
			unused = append(unused, g)
		}
	}
	return unused
}

// Revision is the revision of a group's applied record, 0 if there is none.
func (t *Table) Revision(g Group) uint64 { return t.applied[g].revision }

// Len is how many records there are, applied and pending.
func (t *Table) Len() int { return len(t.applied) + len(t.pending) }
