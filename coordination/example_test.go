package coordination_test

import (
	"context"
	"fmt"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/coordination"
	"github.com/cottonlanding/cottonlanding/internal/platform/keeper"
)

// A process seizes a cell, writes under its guard, and loses the cell to another
// process. Its next write is rejected, even though it hasn't noticed the loss.
func Example() {
	table := keeper.New() // use your own adapter of the platform's table here
	clock := cottonlanding.NewClock()
	ctx := context.Background()
	seizer := coordination.NewSeizer(table)

	vacant := coordination.OwnerRow{}
	vacant.Cell = "brno-a/0"
	mine, err := seizer.Seize(ctx, vacant, "first")
	fmt.Println("seized with epoch", mine.Epoch, err)

	commits := coordination.NewCommitter(table, clock, "Lanes/first")
	defer commits.Close(ctx)
	write := func(key cottonlanding.Key) error {
		result := make(chan error, 1)
		proposal := coordination.Proposal{
			Checks: []cottonlanding.Check{coordination.Guard(mine)},
			Writes: []cottonlanding.Write{{Key: key, Value: []byte("done by first")}},
			Done:   func(_ cottonlanding.Receipt, err error) { result <- err },
		}
		if err := commits.Propose(proposal); err != nil {
			return err
		}
		return <-result
	}
	fmt.Println("first write:", write("Work/1"))

	theirs, err := seizer.Seize(ctx, mine, "second")
	fmt.Println("taken over with epoch", theirs.Epoch, err)
	fmt.Println("second write:", write("Work/2"))
	// Output:
	// seized with epoch 1 <nil>
	// first write: <nil>
	// taken over with epoch 2 <nil>
	// second write: Owners/brno-a/0 changed: conflict
}
