package holder_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
)

const (
	// leaseRemaining is what a lease of service has left when its owner is killed: it lasts six seconds and is renewed
	// each quarter of that.
	leaseRemaining = 4500 * cottonlanding.Millis(1)
	// callsBeforeRenewal is how many calls of the table a new owner makes one after the other before it renews leases:
	// two for the fence, two for the rows.
	callsBeforeRenewal = 4
	// detectionDelay is how long after a process was killed those that watch it know.
	detectionDelay = 60 * time.Millisecond
)

// delayCalls makes each call of the table take a while for all processes.
func (f *fleet) delayCalls(call time.Duration) {
	for _, p := range f.processes {
		p.counted.set(func(t *table) { t.delayCalls = call })
	}
}

// kill ends a process, and two others come to know that it has ended.
func (f *fleet) kill(number int) {
	killed := f.processes[number]
	versions := make([]cottonlanding.Version, f.cells)
	for cell, one := range killed.holders {
		if one.ValidUntil() > 0 {
			versions[cell] = one.View().Version
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

// TestOwnersReplacedBeforeLeasesExpire: with a slow table a killed owner was missed only once its last beat was over
// four seconds old, so that its workers' leases ran out and every lasting task of its cells was interrupted.
// However long calls take up to 400 ms, and whenever the owner is killed, the next one renews leases
// before they run out.
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
						require.Less(t, without, leaseRemaining, "%d cells have no owner", missing)
					}
					t.Logf("renewed after %s", longest)
				})
			})
		}
	}
}

// TestLiveOwnerMarkedEndedKeepsCell: a host may refuse connections while its process owns cells. Its beats go on, and nobody
// takes its cells for longer than the table refuses that.
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
			f.owner(cell) // there is one at most
		}
		require.Equal(t, before.Owner, f.processes[owner].holders[cell].View().Owner)
	})
}
