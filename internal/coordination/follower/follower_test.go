package follower_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/coordination/committer"
	"github.com/cottonlanding/cottonlanding/internal/coordination/follower"
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

const (
	hosts = 3
	poll  = 500 * cottonlanding.Millis(1)
)

// apply is one operator's call of Apply on one host, which expects the
// generation known there or, with an age, an earlier one.
type apply struct {
	wait time.Duration
	host int
	age  cottonlanding.Generation
}

// result is the result of one Apply.
type result struct {
	text       string
	generation cottonlanding.Generation
	err        error
}

// observed holds the generations that one host put in force, in order.
type observed struct {
	generations []cottonlanding.Generation
	texts       map[cottonlanding.Generation]string
}

// TestAcceptedConfigurationsStayLinear guards against hosts that return to an
// earlier configuration or hold different texts for one generation, when
// operators apply configurations at the same time and the table loses answers,
// delays writes and fails.
func TestAcceptedConfigurationsStayLinear(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var applies []apply
		for range rapid.IntRange(1, 15).Draw(rt, "applies") {
			applies = append(applies, apply{
				wait: time.Duration(rapid.IntRange(0, 700).Draw(rt, "wait")) * time.Millisecond,
				host: rapid.IntRange(0, hosts-1).Draw(rt, "host"),
				age:  cottonlanding.Generation(rapid.IntRange(0, 1).Draw(rt, "age")),
			})
		}
		fates := rapid.SliceOfN(rapid.Map(rapid.IntRange(0, faulter.FateCount-1), toFate), 0, 80).Draw(rt, "fates")
		var results []result
		var seen []*observed
		synctest.Test(t, func(*testing.T) { results, seen = simulate(applies, fates) })
		checkResults(rt, results, seen)
	})
}

func toFate(number int) faulter.Fate { return faulter.Fate(number) }

func simulate(applies []apply, fates []faulter.Fate) ([]result, []*observed) {
	table := keeper.New()
	faulty := faulter.NewTable(table, faulter.Script(fates))
	clock := cottonlanding.NewClock()
	var followers []*follower.Follower
	var committers []*committer.Committer
	var seen []*observed
	for i := range hosts {
		o := &observed{texts: make(map[cottonlanding.Generation]string)}
		seen = append(seen, o)
		c := committer.New(faulty, clock, cottonlanding.Key(fmt.Sprintf("Lanes/%d", i)))
		committers = append(committers, c)
		followers = append(followers, follower.New(faulty, c, poll, func(s follower.Snapshot) {
			o.generations = append(o.generations, s.Generation)
			o.texts[s.Generation] = string(s.Text)
		}))
	}
	results := make([]result, len(applies))
	done := make(chan struct{}, len(applies))
	for i, a := range applies {
		time.Sleep(a.wait)
		go func() {
			defer func() { done <- struct{}{} }()
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			f := followers[a.host]
			expected := f.Current().Generation
			expected -= min(a.age, expected)
			text := fmt.Sprintf("text-%d", i)
			generation, err := f.Apply(ctx, []byte(text), expected)
			results[i] = result{text: text, generation: generation, err: err}
		}()
	}
	for range applies {
		<-done
	}
	time.Sleep(time.Minute) // until all faults are over and all hosts have caught up
	for i := range hosts {
		followers[i].Close()
		committers[i].Close(context.Background())
	}
	return results, seen
}

func checkResults(t require.TestingT, results []result, seen []*observed) {
	newest := cottonlanding.Generation(0)
	texts := make(map[cottonlanding.Generation]string)
	for _, o := range seen {
		last := cottonlanding.Generation(0)
		for _, generation := range o.generations {
			require.Greater(t, generation, last, "a host went back")
			last = generation
			if known, found := texts[generation]; found {
				require.Equal(t, known, o.texts[generation], "generation %d forked", generation)
			}
			texts[generation] = o.texts[generation]
		}
		newest = max(newest, last)
	}
	for _, o := range seen {
		if newest > 0 {
			require.Equal(t, newest, o.generations[len(o.generations)-1], "a host was left behind")
		}
	}
	for _, r := range results {
		switch {
		case r.err == nil:
			require.Equal(t, r.text, texts[r.generation], "an accepted text is not in force as generation %d", r.generation)
		case errors.Is(r.err, cottonlanding.ErrConflict), errors.Is(r.err, cottonlanding.ErrUnavailable):
			for generation, text := range texts {
				require.NotEqual(t, r.text, text, "a rejected text is in force as generation %d: %v", generation, r.err)
			}
		}
	}
}

// TestOfferIgnoresOlderGenerations guards against a host that returns to an
// older generation which a peer sends it.
func TestOfferIgnoresOlderGenerations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := faulter.NewTable(keeper.New(), func() faulter.Fate { return faulter.Unreachable })
		c := committer.New(table, cottonlanding.NewClock(), "Lane")
		f := follower.New(table, c, poll, func(follower.Snapshot) {})
		f.Offer(follower.Snapshot{Generation: 7, Text: []byte("seven")})
		f.Offer(follower.Snapshot{Generation: 6, Text: []byte("six")})
		require.Equal(t, follower.Snapshot{Generation: 7, Text: []byte("seven")}, f.Current())
		f.Close()
		c.Close(context.Background())
	})
}
