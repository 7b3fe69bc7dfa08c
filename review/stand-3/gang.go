package main

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

// gangWait is how long a member waits for the others.
const gangWait = 3 * time.Second

// gang is one run of the tasks of a step that work only together.
type gang struct {
	mu      sync.Mutex
	members map[string]bool
	size    int
	began   time.Time
	broken  bool
	done    bool
}

// gangs holds the gangs by step and run.
type gangs struct {
	mu    sync.Mutex
	known map[string]*gang
}

func (g *gangs) join(task string, run, size int) *gang {
	g.mu.Lock()
	defer g.mu.Unlock()
	step := task[:strings.LastIndex(task, ".")] + "#" + strconv.Itoa(run)
	if g.known == nil {
		g.known = make(map[string]*gang)
	}
	one := g.known[step]
	if one == nil {
		one = &gang{members: make(map[string]bool), size: size}
		g.known[step] = one
	}
	one.mu.Lock()
	defer one.mu.Unlock()
	one.members[task] = true
	if len(one.members) == size && one.began.IsZero() {
		one.began = time.Now()
	}
	return one
}

func (g *gang) complete() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.began.IsZero()
}

func (g *gang) isBroken() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.broken && !g.done
}

func (g *gang) isDone(takes time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.done = g.done || !g.began.IsZero() && !g.broken && time.Since(g.began) >= takes
	return g.done
}

func (g *gang) breakUp() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.broken = true
}

// worked returns for how long the run has been at work.
func (r *taskRun) worked() time.Duration {
	if r.together == nil {
		return time.Since(r.began)
	}
	r.together.mu.Lock()
	defer r.together.mu.Unlock()
	if r.together.began.IsZero() {
		return 0
	}
	return time.Since(r.together.began)
}

// checkPlace checks that a run may start here and now. The caller holds the executor's lock.
func (e *executor) checkPlace(run *taskRun) {
	d := e.deployment
	parts := strings.Split(run.task, ".")
	round, _ := strconv.ParseInt(parts[1], 10, 64)
	step, _ := strconv.Atoi(parts[2])
	d.mu.Lock()
	defer d.mu.Unlock()
	if run.needs != "" && run.needs != e.rack && run.needs != e.kind {
		d.violation("ROUTE: task %s needs %s and starts on %s of kind %s and rack %s", run.task, run.needs, e.id, e.kind, e.rack)
	}
	if due := run.first + round*run.interval; run.first > 0 && time.Now().UnixMilli() < due-250 {
		d.violation("ORDER: task %s starts %d ms early", run.task, due-time.Now().UnixMilli())
	}
	if run.chain > 0 && step > 0 {
		for at := range run.chain {
			earlier := fmt.Sprintf("%s.%s.%d.%d", parts[0], parts[1], step-1, at)
			if d.doneRun[earlier] == 0 {
				d.violation("ORDER: task %s starts before %s is done", run.task, earlier)
			}
		}
	}
	beside := 0
	for other := range e.runs {
		if strings.HasPrefix(other, strings.Join(parts[:3], ".")+".") {
			beside++
		}
	}
	if run.apart > 0 && beside > run.apart {
		d.violation("ROUTE: %d tasks of the step of %s on %s", beside, run.task, e.id)
	}
}
