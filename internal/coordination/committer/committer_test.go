package committer_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/coordination/committer"
	"github.com/cottonlanding/cottonlanding/internal/platform/keeper"
	"github.com/cottonlanding/cottonlanding/internal/stand/faulter"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "20261202") // a fixed seed, so that runs are reproducible
	}
	os.Exit(m.Run())
}

// step is one generated action: wait, then write one of a few rows, through the
// committer or as a rival.
type step struct {
	wait    time.Duration
	counter int
	byRival bool
}

// script holds the actions and faults of one run.
type script struct {
	steps []step
	fates []faulter.Fate
}

func drawScript(t *rapid.T) script {
	var s script
	for range rapid.IntRange(1, 40).Draw(t, "steps") {
		s.steps = append(s.steps, step{
			wait:    time.Duration(rapid.IntRange(0, 200).Draw(t, "wait")) * time.Millisecond,
			counter: rapid.IntRange(0, 4).Draw(t, "counter"),
			byRival: rapid.IntRange(0, 9).Draw(t, "foreign") == 0,
		})
	}
	faults := rapid.IntRange(0, 60).Draw(t, "faults")
	for range faults {
		s.fates = append(s.fates, faulter.Fate(rapid.IntRange(0, faulter.FateCount-1).Draw(t, "fate")))
	}
	return s
}

// outcome is the result of one proposal as its proposer saw it.
type outcome struct {
	write cottonlanding.Write
	value string
	calls int
	err   error
}

// baseState is the state of a row that a write replaces.
type baseState struct {
	key     cottonlanding.Key
	version cottonlanding.Version
}

// history counts how often each value was committed.
type history struct {
	*keeper.Keeper
	mu     sync.Mutex
	values map[string]int
}

func (h *history) Commit(ctx context.Context, transaction cottonlanding.Transaction) (cottonlanding.Receipt, error) {
	receipt, err := h.Keeper.Commit(ctx, transaction)
	h.mu.Lock()
	defer h.mu.Unlock()
	if err == nil {
		for _, write := range transaction.Writes {
			h.values[string(write.Value)]++
		}
	}
	return receipt, err
}

// TestProposalTakesEffectAtMostOnce guards against proposals that take effect
// twice, or whose reported result differs from what the table did, when answers
// are lost and copies of transactions arrive late.
func TestProposalTakesEffectAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := drawScript(rt)
		var outcomes []*outcome
		h := &history{Keeper: keeper.New(), values: make(map[string]int)}
		synctest.Test(t, func(*testing.T) { outcomes = simulate(s, h) })
		successors := make(map[baseState]string)
		for _, o := range outcomes {
			base := baseState{o.write.Key, o.write.Expect}
			if o.err == nil {
				require.Empty(rt, successors[base], "%s and %s replaced the same version of %s", successors[base], o.value, base.key)
				successors[base] = o.value
			}
			require.Equal(rt, 1, o.calls, "Done was called for %s %d times", o.value, o.calls)
			effects := h.values[o.value]
			switch {
			case o.err == nil:
				require.Equal(rt, 1, effects, "%s was committed and took effect %d times", o.value, effects)
			case errors.Is(o.err, cottonlanding.ErrConflict), errors.Is(o.err, cottonlanding.ErrUnavailable):
				require.Zero(rt, effects, "%s failed with %v and took effect", o.value, o.err)
			}
		}
	})
}

func simulate(s script, h *history) []*outcome {
	table := faulter.NewTable(h, faulter.Script(s.fates))
	c := committer.New(table, cottonlanding.NewClock(), "Lane", committer.WithSpacing(50))
	var outcomes []*outcome
	for i, st := range s.steps {
		time.Sleep(st.wait)
		key, value := cottonlanding.Key(fmt.Sprintf("Counter/%d", st.counter)), fmt.Sprintf("value-%d", i)
		write := cottonlanding.Write{Key: key, Expect: versionOf(h, key), Value: []byte(value)}
		o := &outcome{write: write, value: value}
		if st.byRival {
			_, _ = h.Commit(context.Background(), cottonlanding.Transaction{Writes: []cottonlanding.Write{write}})
			continue
		}
		proposal := committer.Proposal{Writes: []cottonlanding.Write{write}, Done: func(_ cottonlanding.Receipt, err error) {
			o.calls++
			o.err = err
		}}
		if c.Propose(proposal) == nil {
			outcomes = append(outcomes, o)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	c.Close(ctx)
	time.Sleep(10 * time.Second) // until delayed copies have arrived
	return outcomes
}

func versionOf(h *history, key cottonlanding.Key) cottonlanding.Version {
	rows, _ := h.Read(context.Background(), key)
	if len(rows) == 0 {
		return 0
	}
	return rows[0].Version
}

// TestProposalsShareTransactions guards against a transaction per proposal,
// which would overload the table.
func TestProposalsShareTransactions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := keeper.New()
		c := committer.New(table, cottonlanding.NewClock(), "Lane", committer.WithSpacing(100))
		done := 0
		for i := range 1000 {
			time.Sleep(time.Millisecond)
			key := cottonlanding.Key(fmt.Sprintf("Row/%d", i))
			require.NoError(t, c.Propose(committer.Proposal{
				Writes: []cottonlanding.Write{{Key: key}},
				Done:   func(_ cottonlanding.Receipt, err error) { done++ },
			}))
		}
		c.Close(context.Background())
		require.Equal(t, 1000, done)
		require.LessOrEqual(t, table.Counts().Commits, int64(12), "one second of proposals with a spacing of 100 ms")
	})
}

// TestIdleCommitterSendsAtOnce guards against a proposal that waits for the
// spacing although the last transaction is longer ago.
func TestIdleCommitterSendsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := committer.New(keeper.New(), cottonlanding.NewClock(), "Lane", committer.WithSpacing(200))
		defer c.Close(context.Background())
		time.Sleep(time.Second)
		began := time.Now()
		done := make(chan struct{})
		require.NoError(t, c.Propose(committer.Proposal{
			Writes: []cottonlanding.Write{{Key: "Row"}},
			Done:   func(cottonlanding.Receipt, error) { close(done) },
		}))
		<-done
		require.Less(t, time.Since(began), time.Millisecond)
	})
}

// TestCloseReportsOutcome guards against a Close that loses proposals or blocks
// while the table is unreachable.
func TestCloseReportsOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := faulter.NewTable(keeper.New(), func() faulter.Fate { return faulter.Unreachable })
		c := committer.New(table, cottonlanding.NewClock(), "Lane")
		var answer error
		require.NoError(t, c.Propose(committer.Proposal{
			Writes: []cottonlanding.Write{{Key: "Row"}},
			Done:   func(_ cottonlanding.Receipt, err error) { answer = err },
		}))
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		c.Close(ctx)
		require.ErrorIs(t, answer, cottonlanding.ErrUnavailable)
		require.ErrorIs(t, c.Propose(committer.Proposal{}), cottonlanding.ErrUnavailable)
	})
}

// TestSpacingIncreases guards against a SetSpacing that has no effect on a
// running committer.
func TestSpacingIncreases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := keeper.New()
		c := committer.New(table, cottonlanding.NewClock(), "Lane", committer.WithSpacing(10))
		c.SetSpacing(250)
		for i := range 1000 {
			time.Sleep(time.Millisecond)
			key := cottonlanding.Key(fmt.Sprintf("Row/%d", i))
			require.NoError(t, c.Propose(committer.Proposal{
				Writes: []cottonlanding.Write{{Key: key}}, Done: func(cottonlanding.Receipt, error) {},
			}))
		}
		c.Close(context.Background())
		require.LessOrEqual(t, table.Counts().Commits, int64(6))
	})
}
