package holder_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
)

const (
	// leaseRemaining is the least that a worker's lease has left when the owner of its cell is
	// killed: leases last six seconds and are renewed every quarter of that.
	leaseRemaining = 4500 * cottonlanding.Millis(1)
	// callsBeforeRenewal is how many sequential calls of the table a new owner makes before it
	// renews leases: two for the fence, two for the rows.
	callsBeforeRenewal = 4
	// detectionDelay is the time from the end of a process until those that watch it know of it.
	detectionDelay = 60 * time.Millisecond
)

// delayCalls delays each call of the table by call, for all processes.
func (f *fleet) delayCalls(call time.Duration) {
	for _, p := range f.processes {
		p.counted.set(func(t *table) { t.delayCalls = call })
	}
}

// kill ends a process and reports its end to two others.
func (f *fleet) kill(number int) {
	killed := f.processes[number]
	versions := make([]cottonlanding.Version, f.cells)
	for cell, h := range killed.holders {
		if h.ValidUntil() > 0 {
			versions[cell] = h.View().Version
		}
	}
	killed.close()
	f.processes = append(f.processes[:number:number], f.processes[number+1:]...)
	time.Sleep(detectionDelay)
	for cell, version := range versions {
		for _, watcher := range f.processes[:2] {
			if version > 0 {
				watcher.holders[cell].MarkOwnerEnded(version)
			}
		}
	}
}

// TestOwnersReplacedBeforeLeasesExpire guards against a killed owner that is replaced too late while the
// table is slow: if others wait until its last beat is four seconds old, its workers' leases expire and
// all lasting tasks of its cells are interrupted. Calls take up to 400 ms, and the owner is killed at
// different instants of its poll.
func TestOwnersReplacedBeforeLeasesExpire(t *testing.T) {
	for _, call := range []cottonlanding.Millis{4, 149, 170, 300, 400} {
		for instant := range 8 {
			t.Run(fmt.Sprintf("%s_%d", call, instant), func(t *testing.T) {
				const cells, large = 6, 8
				simulateFleet(t, cells, large, 2, func(f *fleet) {
					f.delayCalls(call.Duration())
					time.Sleep(5*time.Second + time.Duration(instant)*87*time.Millisecond)
					victim := f.owner(instant % cells)
					require.GreaterOrEqual(t, victim, 0)
					killedAt := f.clock.Now()
					f.kill(victim)
					missing, longest := cells, cottonlanding.Millis(0)
					for missing > 0 {
						time.Sleep(10 * time.Millisecond)
						missing = 0
						for cell := range cells {
							if f.owner(cell) < 0 {
								missing++
							}
						}
						without := f.clock.Now() - killedAt + callsBeforeRenewal*call
						longest = max(longest, without)
						require.Less(t, without, leaseRemaining, "%d cells without an owner", missing)
					}
					t.Logf("leases renewed after %s", longest)
				})
			})
		}
	}
}

// TestLiveOwnerMarkedEndedKeepsCell guards against a live owner that loses its cell because its host
// refuses connections and is reported to have ended: its beats continue, and the table rejects the
// take-overs.
func TestLiveOwnerMarkedEndedKeepsCell(t *testing.T) {
	simulateFleet(t, 6, 8, 2, func(f *fleet) {
		const cell = 0
		owner := f.owner(cell)
		before := f.processes[owner].holders[cell].View()
		for _, p := range f.processes {
			if p != f.processes[owner] {
				p.holders[cell].MarkOwnerEnded(before.Version)
			}
		}
		for range 100 {
			time.Sleep(50 * time.Millisecond)
			f.owner(cell) // fails if there are two
		}
		require.Equal(t, before.Owner, f.processes[owner].holders[cell].View().Owner)
	})
}
