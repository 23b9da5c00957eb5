package statestore

import (
	"bytes"
	"time"

	bolt "go.etcd.io/bbolt"

	"silvergate/internal/checksum"
)

// verify reads the whole file, compares its contents with their checksums and with the
// header, and sets the header, the TTLs and the keys of the leases.
func (d *disk) verify(tx *bolt.Tx) error {
	for _, name := range allBuckets {
		if tx.Bucket(name) == nil {
			return d.damaged("its part %q is missing", name)
		}
	}
	if err := d.readHeader(tx, &d.header); err != nil {
		return err
	}
	d.ttls, d.leaseKeys = map[uint64]time.Duration{}, map[uint64]map[string]bool{}
	if err := d.verifyLeases(tx.Bucket(bucketLeases)); err != nil {
		return err
	}
	if err := d.verifyKeys(tx.Bucket(bucketKeys)); err != nil {
		return err
	}
	return d.verifyEvents(tx.Bucket(bucketEvents))
}

func (d *disk) verifyLeases(leases *bolt.Bucket) error {
	err := leases.ForEach(func(k, v []byte) error {
		ttlMs, ok := checksum.Open(k, v)
		if !ok || len(k) != numberSize || len(ttlMs) != numberSize {
			return d.damaged("grant %x does not match its checksum", k)
		}
		d.ttls[decode64(k)] = time.Duration(decode64(ttlMs)) * time.Millisecond
		return nil
	})
	if err != nil {
		return err
	}
	if count := uint64(len(d.ttls)); count != d.header.Leases {
		return d.damaged("it holds %d grants where its head says %d", count, d.header.Leases)
	}
	return nil
}

// verifyKeys checks the keys' records. It also requires that the keys are in order, which a
// damaged inner page could change, and that the leases of keys exist, so verifyLeases must
// have been called before.
func (d *disk) verifyKeys(keys *bolt.Bucket) error {
	count, digest := uint64(0), uint64(0)
	var last []byte
	err := keys.ForEach(func(k, v []byte) error {
		r, ok := decodeRecord(k, v)
		if !ok || r.modRevision > d.header.Revision || bytes.Compare(k, last) <= 0 {
			return d.damaged("key %q does not match its checksum", k)
		}
		last = append(last[:0], k...)
		count++
		digest ^= storedChecksum(v)
		if r.lease == 0 {
			return nil
		}
		if _, ok := d.ttls[r.lease]; !ok {
			return d.damaged("key %q is attached to grant %d, which is missing", k, r.lease)
		}
		d.attachKey(r.lease, string(k))
		return nil
	})
	if err != nil {
		return err
	}
	if count != d.header.Keys || digest != d.header.Digest {
		return d.damaged("it holds %d keys where its head says %d, or others than its digest says", count, d.header.Keys)
	}
	return nil
}

// verifyEvents checks the retained events. It also requires that they are in order and lie
// within the header's range of revisions.
func (d *disk) verifyEvents(events *bolt.Bucket) error {
	count, last := uint64(0), d.header.CompactRevision
	err := events.ForEach(func(k, v []byte) error {
		c, ok := decodeChange(k, v)
		if !ok || c.revision < last || c.revision > d.header.Revision {
			return d.damaged("change %x does not match its checksum", k)
		}
		count++
		last = c.revision
		return nil
	})
	if err != nil {
		return err
	}
	if count != d.header.Events {
		return d.damaged("it holds %d changes where its head says %d", count, d.header.Events)
	}
	return nil
}
