package planner

import (
	"slices"
	"strings"

	"github.com/cottonlanding/cottonlanding"
)

// maxToleratedCountsAge is how long the counts of tolerated filling images are cached: what is known of pairs changes
// within seconds.
const maxToleratedCountsAge = cottonlanding.Second

// narrow returns the candidates on which a serving task may join serving tasks of other images.
func (c *Cell) narrow(t *task, candidates []*worker, now cottonlanding.Millis) []*worker {
	if len(candidates) < 2 {
		return candidates
	}
	views := make([]cottonlanding.MixView, len(candidates))
	for i, w := range candidates {
		views[i] = c.interference.mixView(c.room(w, now).slacks, t.stage.Image, now)
	}
	var out []*worker
	for _, at := range c.policy.Mixing.Narrow(views) {
		out = append(out, candidates[at])
	}
	return out
}

// mixView returns how many filling images a worker's serving images tolerate before and after another one joins them.
func (m *interference) mixView(slacks []imageSlack, joining cottonlanding.Image, now cottonlanding.Millis) cottonlanding.MixView {
	images := make([]cottonlanding.Image, 0, len(slacks)+1)
	for _, s := range slacks {
		images = append(images, s.image)
	}
	view := cottonlanding.MixView{Tolerated: m.countTolerated(images, now)}
	if !slices.Contains(images, joining) {
		images = append(images, joining)
	}
	view.ToleratedAfter = m.countTolerated(images, now)
	return view
}

// countTolerated counts the filling images that hardly interfere with any of the serving ones.
func (m *interference) countTolerated(serving []cottonlanding.Image, now cottonlanding.Millis) int {
	if m.toleratedCounts == nil || now-m.toleratedCountsAt > maxToleratedCountsAge {
		m.toleratedCounts, m.toleratedCountsAt = make(map[string]int), now
	}
	sorted := slices.Sorted(slices.Values(serving))
	key := imagesKey(sorted)
	count, known := m.toleratedCounts[key]
	if known {
		return count
	}
	for filling := range m.fillingImages() {
		if !slices.ContainsFunc(sorted, func(s cottonlanding.Image) bool { return m.weight(filling, s) > cottonlanding.LightWeight }) {
			count++
		}
	}
	m.toleratedCounts[key] = count
	return count
}

func imagesKey(images []cottonlanding.Image) string {
	var key strings.Builder
	for _, image := range images {
		key.WriteString(string(image))
		key.WriteByte(0)
	}
	return key.String()
}

// fillingImages returns the filling images that were measured beside any serving one, here or in other cells.
func (m *interference) fillingImages() map[cottonlanding.Image]bool {
	out := make(map[cottonlanding.Image]bool)
	for _, known := range m.weights {
		for image := range known.index {
			out[image] = true
		}
	}
	for _, pairs := range m.remoteEvidence {
		for image := range pairs {
			out[image] = true
		}
	}
	return out
}
