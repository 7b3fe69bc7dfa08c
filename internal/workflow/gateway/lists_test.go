package gateway_test

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/discovery/relayer"
)

// listPoll is how often the hosts read the list of workers.
const listPoll = 50 * time.Millisecond

// listFeed is a list of workers of which each reading returns one unchanged entry with a new version.
type listFeed struct{ deployment *deployment }

func (f listFeed) Read(_ context.Context, version cottonlanding.Version, _ cottonlanding.Millis) (cottonlanding.FeedReading, error) {
	f.deployment.listReads.Add(1)
	return cottonlanding.FeedReading{
		Rows:    []cottonlanding.FeedRow{{Key: "w0", Value: []byte("same"), Version: version + 1}},
		Whole:   version == 0,
		Version: version + 1,
		At:      f.deployment.clock.Now(),
	}, nil
}

func (d *deployment) newLists() *relayer.Relay {
	return relayer.New(relayer.Dependencies{
		Feed:       listFeed{d},
		Attributes: func(entry []byte) any { return string(entry) },
		Clock:      d.clock,
		Log:        slog.New(slog.NewTextHandler(io.Discard, nil)),
	}, relayer.Timing{RequestTimeout: 2000, WholeTimeout: 2000, FeedTimeout: 2000, FreshFor: 150, FreshTimeout: 1000, MaxAge: 2000, FallbackPeriod: 200, Retention: 10_000})
}

// followList reads the list at a host until ctx is cancelled.
func followList(ctx context.Context, lists *relayer.Relay) {
	version := cottonlanding.Version(0)
	for ctx.Err() == nil {
		if news, err := lists.Read(ctx, version, 0); err == nil {
			version = news.Version
		}
		time.Sleep(listPoll)
	}
}

// TestFirstCellOwnerRelaysList guards against owners that all read the list of workers from its source, rather than
// over the network from the owner of the first cell, or from the next owner once that is killed.
func TestFirstCellOwnerRelaysList(t *testing.T) {
	d := deployCells(t, cells)
	d.awaitOwners()
	var stops []context.CancelFunc
	follow := func(lists *relayer.Relay) {
		ctx, stop := context.WithCancel(context.Background())
		stops = append(stops, stop)
		go followList(ctx, lists)
	}
	defer func() {
		for _, stop := range stops {
			stop()
		}
	}()
	for _, lists := range d.lists {
		follow(lists)
	}
	relayed := func() bool {
		before := make([]int64, len(d.lists))
		for at, lists := range d.lists {
			before[at] = lists.Counts().Relayed
		}
		direct := d.listReads.Load()
		time.Sleep(10 * listPoll)
		asking := 0
		for at, lists := range d.lists {
			if lists.Counts().Relayed > before[at] {
				asking++
			}
		}
		return asking == len(d.lists)-1 && d.listReads.Load()-direct <= 11
	}
	require.Eventually(t, relayed, 15*time.Second, time.Millisecond, "one host reads the list, the others get it relayed")
	for at := range d.hosts {
		stops[0]()
		stops, d.lists = stops[1:], d.lists[1:]
		d.kill(at)
		follow(d.lists[len(d.lists)-1])
	}
	require.Eventually(t, relayed, 15*time.Second, time.Millisecond, "the list is relayed by the next owner")
}
