package referrer_test

import (
	"fmt"
	"math/rand"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/policy/referrer"
)

const (
	cells  = 5
	images = 16
	// jobs of 24 tasks of 6.4 cores take four fifths of the cells' processors.
	jobs     = 214
	capacity = 8200.0
	jobCores = 24 * 6.4
)

// fleet is a set of cells of equal size with what each of them serves.
type fleet struct {
	used   [cells]float64
	images [cells]map[cottonlanding.Image]bool
}

func newFleet() *fleet {
	f := &fleet{}
	for cell := range f.images {
		f.images[cell] = make(map[cottonlanding.Image]bool)
	}
	return f
}

// views returns what is known of all cells by the last reports, which lack the latest jobs.
func (f *fleet) views(reported [cells]float64) []cottonlanding.CellView {
	var out []cottonlanding.CellView
	for cell := range cells {
		out = append(out, cottonlanding.CellView{Cell: cottonlanding.CellNumber(cell), Usable: true, Free: 1 - reported[cell]/capacity})
	}
	return out
}

// fill submits serving workflows one by one, each at a random home. Reports are renewed every ten
// workflows.
func (f *fleet) fill(policy cottonlanding.ReferralPolicy) {
	random := rand.New(rand.NewSource(1))
	var reported [cells]float64
	for number := range jobs {
		if number%10 == 0 {
			reported = f.used
		}
		image := cottonlanding.Image(fmt.Sprintf("image%d", random.Intn(images)))
		workflow := cottonlanding.Workflow{
			ID:    cottonlanding.WorkflowID(fmt.Sprintf("%016x", number)),
			Steps: []cottonlanding.Step{{Tasks: 24, Lasting: true, LatencyTarget: 150, Image: image}},
		}
		views := f.views(reported)
		home := random.Intn(cells)
		at := cottonlanding.CellNumber(home)
		others := append(append([]cottonlanding.CellView{}, views[:home]...), views[home+1:]...)
		if to, found := policy.Refer(workflow, views[home], others); found {
			at = to
		}
		f.used[at] += jobCores
		f.images[at][image] = true
	}
}

func (f *fleet) fullest() float64 {
	most := 0.0
	for _, used := range f.used {
		most = max(most, used/capacity)
	}
	return most
}

func (f *fleet) imagesPerCell() float64 {
	sum := 0
	for _, images := range f.images {
		sum += len(images)
	}
	return float64(sum) / cells
}

// TestByImageGroupsImages guards against cells that are too full or have too many images. Five cells
// are filled to four fifths with sixteen images: by ids alone one cell is too full, by room and by
// image none is, and by image a cell has only about half of the images.
func TestByImageGroupsImages(t *testing.T) {
	never, byRoom, byImage := newFleet(), newFleet(), newFleet()
	never.fill(referrer.Never{})
	byRoom.fill(referrer.ByRoom{})
	byImage.fill(referrer.ByImage{})
	t.Logf("never: fullest %.2f, %.1f images a cell; by room: %.2f, %.1f; by image: %.2f, %.1f", never.fullest(), never.imagesPerCell(),
		byRoom.fullest(), byRoom.imagesPerCell(), byImage.fullest(), byImage.imagesPerCell())
	require.Greater(t, never.fullest(), 0.85, "the baseline")
	require.Less(t, byRoom.fullest(), never.fullest())
	require.Less(t, byImage.fullest(), 0.9)
	require.Less(t, byImage.imagesPerCell(), 0.6*byRoom.imagesPerCell())
}

// TestUnusableHomeRefersAll guards against workflows that stay in a cell whose owner reaches no
// worker, such as one in a partitioned data centre. All go to other usable cells, some to each.
func TestUnusableHomeRefersAll(t *testing.T) {
	home := cottonlanding.CellView{Cell: 0}
	others := []cottonlanding.CellView{{Cell: 1, Usable: true, Spare: 0.1}, {Cell: 2, Usable: true, Spare: 0.3}, {Cell: 3}}
	got := make(map[cottonlanding.CellNumber]int)
	for number := range 1000 {
		workflow := cottonlanding.Workflow{ID: cottonlanding.WorkflowID(fmt.Sprintf("%016x", number)), Steps: []cottonlanding.Step{{Tasks: 4, Fills: true}}}
		to, found := referrer.ByRoom{}.Refer(workflow, home, others)
		require.True(t, found)
		got[to]++
	}
	require.Zero(t, got[3], "an unusable cell")
	require.Greater(t, got[2], got[1])
	require.Positive(t, got[1])
}

// TestByRoomPrefersHome guards against referrals for less additional room than the reports are off by.
func TestByRoomPrefersHome(t *testing.T) {
	home := cottonlanding.CellView{Cell: 0, Usable: true, Free: 0.3, Spare: 0.3}
	others := []cottonlanding.CellView{{Cell: 1, Usable: true, Free: 0.33, Spare: 0.34}}
	for _, step := range []cottonlanding.Step{{Tasks: 4}, {Tasks: 4, Fills: true}} {
		_, found := referrer.ByRoom{}.Refer(cottonlanding.Workflow{ID: "w", Steps: []cottonlanding.Step{step}}, home, others)
		require.False(t, found)
	}
}
