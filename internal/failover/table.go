package failover

// record is a failover record: it makes the successor the holder of a group's workers.
type record struct {
	successor Holder
	revision  uint64
}

// Table holds the records. The zero value is not usable; see NewTable.
type Table struct {
	appliedRevision uint64
	applied         map[Group]record
	pending         map[Group]record // records newer than appliedRevision
}

// NewTable returns a table without records.
func NewTable() *Table {
	return &Table{applied: map[Group]record{}, pending: map[Group]record{}}
}

// Put stores a group's record and reports whether a worker's holder may have changed.
// A record newer than the revision up to which the mirror is complete stays pending until
// Advance reaches its revision.
func (t *Table) Put(g Group, successor Holder, revision uint64) bool {
	if revision > t.appliedRevision {
		t.pending[g] = record{successor, revision}
		return false
	}
	t.applied[g] = record{successor, revision}
	return true
}

// Delete removes a group's record and reports whether a worker's holder may have changed.
func (t *Table) Delete(g Group) bool {
	delete(t.pending, g)
	_, existed := t.applied[g]
	delete(t.applied, g)
	return existed
}

// Advance records that the mirror is complete up to a revision. It returns the groups whose
// pending records are now applied, in no particular order.
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

// Pending reports whether a record of the group is known but not applied yet.
func (t *Table) Pending(g Group) bool {
	_, ok := t.pending[g]
	return ok
}

// Resolve returns the ownership of a worker, given the worker's own claim.
func (t *Table) Resolve(worker, zone string, own Claim) Ownership {
	o := Ownership{Claim: own}
	for o.Epoch > 0 {
		g := GroupOf(o.Holder, worker, zone)
		r := t.applied[g]
		o.Links = append(o.Links, Link{g, r.revision})
		if r.revision <= o.Token {
			break // no record, or one older than the claim
		}
		o.Claim = Claim{r.successor, r.revision}
	}
	return o
}

// NextEpoch returns the epoch for an incarnation's next claims. It is higher than the epoch of every
// group of the incarnation that has an applied or pending failover record.
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

// Unused returns the groups whose applied records no worker's ownership depends on, in no particular
// order. inUse holds every group in the links of every worker.
func (t *Table) Unused(inUse map[Group]bool) (unused []Group) {
	for g := range t.applied {
		if !inUse[g] {
			unused = append(unused, g)
		}
	}
	return unused
}

// Revision returns the revision of a group's applied record, 0 if there is none.
func (t *Table) Revision(g Group) uint64 { return t.applied[g].revision }

// Len returns the number of records, applied and pending.
func (t *Table) Len() int { return len(t.applied) + len(t.pending) }
