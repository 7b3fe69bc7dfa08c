package claimer_test

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/coordination/committer"
	"github.com/cottonlanding/cottonlanding/internal/platform/keeper"
	"github.com/cottonlanding/cottonlanding/internal/request/claimer"
)

const keep = cottonlanding.Minute

// host is one daemon's claimer.
type host struct {
	claimer   *claimer.Claimer
	committer *committer.Committer
}

func newHost(table cottonlanding.Table, id cottonlanding.SessionID) host {
	clock := cottonlanding.NewClock()
	c := committer.New(table, clock, cottonlanding.Key("Lanes/"+id))
	return host{claimer: claimer.New(table, c, clock, id, keep), committer: c}
}

func (h host) close() {
	h.claimer.Close()
	h.committer.Close(context.Background())
}

func rowsLeft(t *testing.T, table cottonlanding.Table) int {
	rows, err := table.Scan(context.Background(), "Claims/", "", 100)
	require.NoError(t, err)
	return len(rows)
}

func TestRepeatOnAnotherHostGetsTheKeptAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := keeper.New()
		a, b := newHost(table, "a"), newHost(table, "b")
		claim, kept, err := a.claimer.Claim(context.Background(), "Ofenbuch", "k/1 ä")
		require.NoError(t, err)
		require.Nil(t, kept)
		_, _, err = b.claimer.Claim(context.Background(), "Ofenbuch", "k/1 ä")
		require.ErrorIs(t, err, claimer.ErrUnsettled, "it runs on the other host")
		a.claimer.Settle(claim, cottonlanding.Ran, cottonlanding.Answer{Status: http.StatusCreated, Body: []byte("kiln 2")})
		time.Sleep(time.Second)
		_, kept, err = b.claimer.Claim(context.Background(), "Ofenbuch", "k/1 ä")
		require.NoError(t, err)
		require.Equal(t, "kiln 2", string(kept.Body))
		require.Equal(t, http.StatusCreated, kept.Status)
		time.Sleep(2 * keep.Duration())
		require.Zero(t, rowsLeft(t, table), "answers are not kept for ever")
		a.close()
		b.close()
	})
}

// TestRepeatWaitsForAnAnswerThatIsBeingKept repeats a request on another host as soon as
// its caller has the answer, which is before that is committed.
func TestRepeatWaitsForAnAnswerThatIsBeingKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := keeper.New()
		a, b := newHost(table, "a"), newHost(table, "b")
		claim, _, err := a.claimer.Claim(context.Background(), "Ofenbuch", "k")
		require.NoError(t, err)
		a.claimer.Settle(claim, cottonlanding.Ran, cottonlanding.Answer{Status: http.StatusOK, Body: []byte("kiln 2")})
		_, kept, err := b.claimer.Claim(context.Background(), "Ofenbuch", "k")
		require.NoError(t, err)
		require.Equal(t, "kiln 2", string(kept.Body))
		a.close()
		b.close()
	})
}

// TestRepeatOfARunningRequestIsToldSoon checks that a repeat doesn't wait for long for a
// request that is still running, or whose host is gone.
func TestRepeatOfARunningRequestIsToldSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := keeper.New()
		a, b := newHost(table, "a"), newHost(table, "b")
		_, _, err := a.claimer.Claim(context.Background(), "Ofenbuch", "k")
		require.NoError(t, err)
		began := time.Now()
		_, _, err = b.claimer.Claim(context.Background(), "Ofenbuch", "k")
		require.ErrorIs(t, err, claimer.ErrUnsettled)
		require.Less(t, time.Since(began), 1500*time.Millisecond)
		a.close()
		b.close()
	})
}

func TestReleasedKeyIsFree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newHost(keeper.New(), "a")
		claim, _, err := a.claimer.Claim(context.Background(), "Ofenbuch", "k")
		require.NoError(t, err)
		a.claimer.Release(claim)
		time.Sleep(time.Second)
		_, kept, err := a.claimer.Claim(context.Background(), "Ofenbuch", "k")
		require.NoError(t, err)
		require.Nil(t, kept)
		a.close()
	})
}

func TestClaimsOfDeadHostsAreSwept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := keeper.New()
		dead, living := newHost(table, "dead"), newHost(table, "living")
		_, _, err := dead.claimer.Claim(context.Background(), "Ofenbuch", "left")
		require.NoError(t, err)
		_, _, err = living.claimer.Claim(context.Background(), "Ofenbuch", "running")
		require.NoError(t, err)
		dead.close()
		sweeper := claimer.NewSweeper(living.claimer, func() (map[cottonlanding.SessionID]bool, bool) {
			return map[cottonlanding.SessionID]bool{"living": true}, true
		})
		time.Sleep(keep.Duration() / 2)
		require.Equal(t, 2, rowsLeft(t, table), "a repeat still finds the claim")
		time.Sleep(keep.Duration())
		require.Equal(t, 1, rowsLeft(t, table))
		sweeper.Close()
		living.close()
	})
}
