package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

// Exit codes of a scenario.
const (
	held      = 0
	broken    = 1
	couldNot  = 2
	waitStep  = 20 * time.Millisecond
	restartIn = 800 * time.Millisecond
)

// scenario plays one case. It returns what was broken, and false if it couldn't run.
type scenario func(d *deployment, trouble bool) (problems []string, ran bool)

var scenarios = map[string]struct {
	executors, hosts int
	play             scenario
}{
	"crashes": {48, 3, crashes},
}

func main() {
	name := flag.String("scenario", "", "the scenario")
	record := flag.String("record", "record.txt", "the file of what was sent, answered and run")
	flag.Parse()
	os.Exit(run(*name, *record, os.Getenv("TROUBLE") != "0"))
}

func run(name, record string, trouble bool) int {
	chosen, found := scenarios[name]
	if !found {
		fmt.Fprintln(os.Stderr, "no such scenario")
		return couldNot
	}
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	}
	d, err := deploy(dir, record, chosen.executors, chosen.hosts)
	if d != nil {
		defer d.end()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	if !d.ready() {
		d.record("the hosts don't become ready")
		return couldNot
	}
	time.Sleep(2 * time.Second) // the executors are known
	problems, ran := chosen.play(d, trouble)
	d.mu.Lock()
	problems = append(problems, d.broken...)
	d.mu.Unlock()
	for _, problem := range problems {
		d.record("RULE BROKEN: %s", problem)
		fmt.Println(problem)
	}
	switch {
	case len(problems) > 0:
		return broken
	case !ran:
		d.record("the case could not run")
		return couldNot
	}
	d.record("the rules held")
	return held
}

// awaitRun waits until a task runs, and returns the executor's id.
func awaitRun(d *deployment, task string, within time.Duration) string {
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(waitStep) {
		if id := d.where(task); id != "" {
			return id
		}
	}
	return ""
}

// crashes has the executor of a task crash three times, each time some seconds into the run. No run of the task fails.
func crashes(d *deployment, trouble bool) ([]string, bool) {
	const id, crashesOf = "00000000000000c1", 3
	task := id + ".0.0.0"
	time.Sleep(9 * time.Second)
	if !d.submit(id, "ms=8000 cpu=24000", map[string]any{"count": 1, "cpu": 24000, "memMb": 4000, "estimatedMs": 8000}) {
		return nil, false
	}
	for range crashesOf {
		at := awaitRun(d, task, 15*time.Second)
		if at == "" {
			break
		}
		if !trouble {
			break
		}
		time.Sleep(4 * time.Second)
		e := d.executorOf(at)
		if e == nil {
			return nil, false
		}
		e.crash()
		time.Sleep(restartIn)
		if err := e.begin(); err != nil {
			return nil, false
		}
	}
	state := ""
	for until := time.Now().Add(25 * time.Second); time.Now().Before(until); time.Sleep(500 * time.Millisecond) {
		if state = d.state(id); state == "succeeded" || state == "failed" || state == "cancelled" || state == "gone" {
			break
		}
	}
	if state != "succeeded" {
		return []string{fmt.Sprintf("LOST: the job shows as %s, although no run of its task has failed", state)}, true
	}
	return nil, true
}
