package connlimit

import (
	"testing"

	"pgregory.net/rapid"
)

// TestDoorsKeepTheirPromises draws connections that open, ask, are answered and
// close, in any order and number, as after a peer's end.
func TestDoorsKeepTheirPromises(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		total := rapid.IntRange(8, 80).Draw(rt, "total")
		d := New(Share(total))
		share := d.limits.Workers
		type conn struct {
			class         Class
			busy, waiting bool
		}
		var conns []*conn
		close := func(at int) {
			d.Leave(conns[at].class)
			conns = append(conns[:at], conns[at+1:]...)
		}
		for range rapid.IntRange(1, 400).Draw(rt, "steps") {
			switch what := rapid.IntRange(0, 9).Draw(rt, "what"); {
			case what < 4 || len(conns) == 0:
				full := len(conns) >= total
				if d.Enter() == full {
					rt.Fatalf("%d of %d are open, entered: %v", len(conns), total, !full)
				}
				if !full {
					conns = append(conns, &conn{})
				}
			case what < 6:
				if k := conns[rapid.IntRange(0, len(conns)-1).Draw(rt, "which")]; !k.busy {
					is := rapid.SampledFrom([]Class{User, Worker, Worker, Worker, Operator}).Draw(rt, "class")
					d.Ask(k.class, is)
					k.class, k.busy, k.waiting = is, true, false
				}
			case what < 9:
				at := rapid.IntRange(0, len(conns)-1).Draw(rt, "which")
				if k := conns[at]; k.busy {
					served := rapid.Bool().Draw(rt, "served")
					k.busy, k.waiting = false, true
					if !d.Stay(k.class, served, rapid.Bool().Draw(rt, "urgent")) {
						close(at)
					} else if k.class == Worker && !served {
						rt.Fatal("a worker that was sent on keeps its connection")
					}
				}
			default:
				close(rapid.IntRange(0, len(conns)-1).Draw(rt, "which"))
			}
			idle, by := 0, [Classes]int{}
			for _, k := range conns {
				by[k.class]++
				if k.class == Worker && k.waiting {
					idle++
				}
			}
			if idle > share {
				rt.Fatalf("%d workers wait on connections, of %d", idle, share)
			}
			if by != d.count || d.Stats().Open != len(conns) {
				rt.Fatalf("%v are open, %v counted", by, d.count)
			}
		}
	})
}

// TestUsersGetInHoweverManyWorkersThereAre guards against a site with more
// workers than sockets: its users, health checks and operators were crowded out
// and half of its work was lost (shiftbook-akl-fleet with four times the machines,
// simulated: mark 0.17).
func TestUsersGetInHoweverManyWorkersThereAre(t *testing.T) {
	const total = 800
	d := New(Share(total))
	kept := 0
	for range 10 * total { // each worker connects, reports and is answered
		if !d.Enter() {
			t.Fatal("a worker is refused though others only wait")
		}
		d.Ask(Fresh, Worker)
		if d.Stay(Worker, true, false) {
			kept++
		} else {
			d.Leave(Worker)
		}
	}
	if kept != total/2-total/16 || !d.Tight() {
		t.Errorf("%d of %d connections are kept by workers, tight: %v", kept, total, d.Tight())
	}
	// Those with urgent work get what is left of the share.
	for range total {
		d.Enter()
		d.Ask(Fresh, Worker)
		if d.Stay(Worker, true, true) {
			kept++
		} else {
			d.Leave(Worker)
		}
	}
	if kept != total/2 {
		t.Errorf("%d of %d connections are kept by workers with urgent work", kept, total)
	}
	users := 0
	for range total {
		if !d.Enter() {
			break
		}
		users++
		d.Ask(Fresh, User)
	}
	if users != total/2 || d.Stats().Refused != 1 {
		t.Errorf("%d users got in", users)
	}
	if d.Stay(User, true, false) {
		t.Error("a user's connection is kept though nothing is free")
	}
}
