package provider

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"time"

	bolt "go.etcd.io/bbolt"
	berrors "go.etcd.io/bbolt/errors"

	"silvergate/internal/checksum"
)

// Names in the provider's folder.
const (
	fileName        = "provider.db"
	machinesDir     = "machines"
	endedDir        = "ended"
	agentFile       = "agent.json"
	configFile      = "agent.yaml"
	logFile         = "agent.log"
	certsDir        = "certs"
	maxEndedFolders = 50 // folders of ended machines that are retained
)

// createFile creates an empty database file. The file gets its name only when it is complete,
// so a file under that name is never an unfinished one.
func createFile(path string) error {
	tmp := path + ".new"
	if err := os.RemoveAll(tmp); err != nil {
		return err
	}
	db, err := bolt.Open(tmp, 0o600, &bolt.Options{Timeout: time.Second})
	if err != nil {
		return err
	}
	if err := db.Close(); err != nil {
		return err
	}
	return os.Rename(tmp, path)
}

// checkFile reads the whole database before it is opened for writing, so that damage is
// reported and never written over. If there is no file, checkFile creates one.
func checkFile(path string) error {
	info, err := os.Stat(path)
	if errors.Is(err, os.ErrNotExist) {
		return createFile(path)
	}
	if err != nil {
		return err
	}
	damaged := func(format string, args ...any) error {
		return fmt.Errorf("%s is %w: %s; it was left as it is; if you move it away, the cloud starts without machines", path, checksum.ErrDamaged, fmt.Sprintf(format, args...))
	}
	if info.Size() < 4*int64(os.Getpagesize()) {
		return damaged("it has only %d bytes", info.Size())
	}
	return checksum.Guard(path, func() error {
		db, err := bolt.Open(path, 0o600, &bolt.Options{Timeout: time.Second, ReadOnly: true})
		if errors.Is(err, berrors.ErrTimeout) {
			return fmt.Errorf("%s: another process has it open", path)
		}
		if err != nil {
			return damaged("%v", err)
		}
		defer db.Close()
		return db.View(func(tx *bolt.Tx) error {
			if tx.Size() > info.Size() {
				return damaged("it has %d bytes of %d", info.Size(), tx.Size())
			}
			return tx.ForEach(func(_ []byte, b *bolt.Bucket) error {
				return b.ForEach(func(k, v []byte) error {
					if _, ok := checksum.Open(k, v); !ok {
						return damaged("record %q does not match its checksum", k)
					}
					return nil
				})
			})
		})
	})
}

// load reads the records and creates the market from them.
func (p *Provider) load(path string) error {
	var rentals []*RentalRecord
	var machines []*Machine
	var next uint64
	err := p.db.Update(func(tx *bolt.Tx) error {
		for _, b := range [][]byte{bucketMachines, bucketRentals, bucketNext} {
			if _, err := tx.CreateBucketIfNotExists(b); err != nil {
				return err
			}
		}
		read := func(bucket []byte, decode func(raw []byte) error) error {
			return tx.Bucket(bucket).ForEach(func(k, v []byte) error {
				raw, ok := checksum.Open(k, v)
				if ok {
					ok = decode(raw) == nil
				}
				if !ok {
					return fmt.Errorf("%s is damaged: record %q does not match its checksum; it was left as it is", path, k)
				}
				return nil
			})
		}
		return errors.Join(
			read(bucketMachines, func(raw []byte) error {
				x := &Machine{}
				machines = append(machines, x)
				return json.Unmarshal(raw, x)
			}),
			read(bucketRentals, func(raw []byte) error {
				rental := &RentalRecord{}
				rentals = append(rentals, rental)
				return json.Unmarshal(raw, rental)
			}),
			read(bucketNext, func(raw []byte) error { return json.Unmarshal(raw, &next) }))
	})
	if err != nil {
		return err
	}
	p.market = NewMarket(p.cfg.Types, p.cfg.Spot, p.cfg.RPS, rentals, machines, next, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	return nil
}

// store writes the records in e durably, and deletes the records of machines that
// have ended.
func (p *Provider) store(e Effects, ended ...string) error {
	if len(e.Store) == 0 && e.Rental == nil && len(ended) == 0 {
		return nil
	}
	return p.db.Update(func(tx *bolt.Tx) error {
		put := func(bucket []byte, key string, v any) error {
			raw, err := json.Marshal(v)
			if err != nil {
				return err
			}
			return tx.Bucket(bucket).Put([]byte(key), checksum.Append([]byte(key), raw))
		}
		for _, x := range e.Store {
			if err := put(bucketMachines, x.Name, x); err != nil {
				return err
			}
		}
		for _, n := range ended {
			if err := tx.Bucket(bucketMachines).Delete([]byte(n)); err != nil {
				return err
			}
		}
		if e.Rental != nil {
			return errors.Join(put(bucketRentals, e.Rental.Name, e.Rental), put(bucketNext, "next", p.market.next))
		}
		return nil
	})
}
