package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

func init() { cases["gangs"] = playGangs }

// playGangs has one of twelve executors fail all that it starts for six seconds, its health being good, while a gang is
// handed in. The gang runs there first, since an earlier gang did.
func playGangs(d *deployment) error {
	const (
		first, second = "5c0e7a21d94b36f8", "5c0e7a21d94b36f9"
		members       = 4
		greyTime      = 6 * time.Second
	)
	if _, err := d.launch(false); err != nil {
		return err
	}
	time.Sleep(10 * time.Second) // traffic starts ten seconds after the machines
	step := map[string]any{"count": members, "cpu": 2300, "memMb": 4600, "estimatedMs": 1000, "gang": true}
	spec := work{TakesMs: 1000, Gang: members}
	if accepted, err := d.submit(first, spec, step); err != nil || !accepted {
		return fmt.Errorf("the first job was not accepted: %w", err)
	}
	if state := d.awaitState(first, 20*time.Second, "succeeded", "failed", "cancelled"); state != "succeeded" {
		return fmt.Errorf("the first job shows as %q", state)
	}
	at, count := d.busiest(first)
	d.note("%d of the first gang's %d members ran on executor %d", count, members, at+1)
	if d.trouble {
		response, err := http.Post("http://"+d.executorAddress(at)+greyPath+"?ms="+strconv.FormatInt(greyTime.Milliseconds(), 10), "", nil)
		if err != nil {
			return err
		}
		_ = response.Body.Close()
		d.note("executor %d fails all that it starts for %s", at+1, greyTime)
	}
	if accepted, err := d.submit(second, spec, step); err != nil || !accepted {
		return fmt.Errorf("the second job was not accepted: %w", err)
	}
	state := d.awaitState(second, 30*time.Second, "succeeded", "failed", "cancelled")
	runs := make(map[string]int)
	for _, fields := range d.noted(second, "ends") {
		if how := fields[len(fields)-1]; how == "failed" {
			runs[fields[len(fields)-2]]++
		}
	}
	d.note("the second job shows as %q; ends \"failed\" of its gang by run: %v; maxAttempts is %d", state, runs, d.attempts)
	switch {
	case state == "failed" && len(runs) < d.attempts:
		d.breaks("LOST: the accepted job %s shows as failed without cause: its gang has failed %d times of %d", second, len(runs), d.attempts)
	case state != "succeeded" && state != "failed":
		d.breaks("LOST: the accepted job %s doesn't end", second)
	}
	return nil
}

// busiest returns the executor on which most tasks of a job began, and how many these were.
func (d *deployment) busiest(id string) (at, count int) {
	counts := make([]int, executorCount)
	for _, fields := range d.noted(id, "begins") {
		one := -1
		if _, err := fmt.Sscanf(strings.TrimPrefix(fields[1], "i-"), "%d", &one); err == nil && one >= 0 && one < executorCount {
			counts[one]++
		}
	}
	for one, c := range counts {
		if c > count {
			at, count = one, c
		}
	}
	return at, count
}
