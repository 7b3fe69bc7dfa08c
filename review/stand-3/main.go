package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
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
	size             size
	play             scenario
}{
	"crashes": {48, 3, small, crashes},
	"mixed":   {24, 3, small, mixed},
	"late":    {48, 3, small, late},
	"silent":  {48, 3, small, silent},
	"wide":    {48, 3, small, wide},
	"long":    {12, 3, small, long},
	"flap":    {48, 3, fleet, flap},
	"again":   {48, 3, fleet, again},
	"label":   {400, 5, large, label},
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
	d, err := deploy(dir, record, chosen.executors, chosen.hosts, chosen.size)
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

// mixed hands in gangs, schedules, chains and tasks that are to be kept apart, while hosts are killed and executors
// crash.
func mixed(d *deployment, trouble bool) ([]string, bool) {
	d.quiet = true
	var ids []string
	tasks := make(map[string]int)
	stop := make(chan struct{})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for turn := 0; trouble; turn++ {
			select {
			case <-stop:
				return
			case <-time.After(time.Duration(2000+rand.IntN(4000)) * time.Millisecond):
			}
			if turn%3 == 2 {
				d.mu.Lock()
				d.lateUntil = time.Now().Add(5500 * time.Millisecond)
				d.mu.Unlock()
				continue
			}
			if turn%3 == 0 {
				h := d.hosts[rand.IntN(len(d.hosts))]
				d.kill(h)
				time.Sleep(400 * time.Millisecond)
				_ = d.start(h)
				continue
			}
			for range 1 + rand.IntN(3) {
				e := d.executors[rand.IntN(len(d.executors))]
				e.crash()
				time.Sleep(time.Duration(rand.IntN(300)) * time.Millisecond)
				go func() {
					time.Sleep(restartIn)
					_ = e.begin()
				}()
			}
		}
	}()
	for number := range 60 {
		id := fmt.Sprintf("%016x", 0xa000+number)
		body := map[string]any{}
		switch number % 6 {
		case 0: // a gang
			body["steps"] = []map[string]any{{"count": 6, "cpu": 9000, "memMb": 2000, "estimatedMs": 900, "gang": true, "sameRack": number%12 == 0}}
			body[names["payload"]], tasks[id] = "ms=900 cpu=9000 gang=6", 6
		case 1: // a schedule
			first := time.Now().Add(2 * time.Second).UnixMilli()
			body["steps"] = []map[string]any{{"count": 2, "cpu": 1000, "memMb": 200, "estimatedMs": 300}, {"count": 2, "cpu": 1000, "memMb": 200, "estimatedMs": 300, "after": []int{0}}}
			body["firstRunMs"], body["intervalMs"], body["repeatCount"] = first, 1500, 8
			body[names["payload"]], tasks[id] = fmt.Sprintf("ms=300 cpu=1000 chain=2 first=%d interval=1500", first), 32
		case 2: // kept apart
			body["steps"] = []map[string]any{{"count": 12, "cpu": 2000, "memMb": 200, "estimatedMs": 500, "antiAffinity": 1}}
			body[names["payload"]], tasks[id] = "ms=500 cpu=2000 apart=1", 12
		case 3: // a label
			rack := d.executors[number%len(d.executors)].rack
			body["steps"] = []map[string]any{{"count": 8, "cpu": 2000, "memMb": 200, "estimatedMs": 700, "requirements": rack}}
			body[names["payload"]], tasks[id] = "ms=700 cpu=2000 needs="+rack, 8
		case 4: // a chain of gangs
			body["steps"] = []map[string]any{{"count": 3, "cpu": 3000, "memMb": 200, "estimatedMs": 600, "gang": true}, {"count": 3, "cpu": 3000, "memMb": 200, "estimatedMs": 600, "gang": true, "after": []int{0}}, {"count": 3, "cpu": 3000, "memMb": 200, "estimatedMs": 600, "gang": true, "after": []int{1}}}
			body[names["payload"]], tasks[id] = "ms=600 cpu=3000 gang=3 chain=3", 9
		default: // scheduled gangs
			first := time.Now().Add(time.Second).UnixMilli()
			body["steps"] = []map[string]any{{"count": 3, "cpu": 2000, "memMb": 200, "estimatedMs": 400, "gang": true}}
			body["firstRunMs"], body["intervalMs"], body["repeatCount"] = first, 700, 10
			body[names["payload"]], tasks[id] = fmt.Sprintf("ms=400 cpu=2000 gang=3 first=%d interval=700", first), 30
		}
		if d.hand(id, body) {
			ids = append(ids, id)
		}
		load := fmt.Sprintf("%016x", 0x9000+number)
		if d.submit(load, "ms=900 cpu=5000", map[string]any{"count": 60, "cpu": 5000, "memMb": 200, "estimatedMs": 900}) {
			ids, tasks[load] = append(ids, load), 60
		}
		time.Sleep(500 * time.Millisecond)
	}
	close(stop)
	<-ended
	var problems []string
	for until := time.Now().Add(30 * time.Second); ; time.Sleep(500 * time.Millisecond) {
		problems = nil
		for _, id := range ids {
			if state := d.state(id); state != "succeeded" {
				problems = append(problems, fmt.Sprintf("LOST: job %s shows as %s", id, state))
			}
		}
		if len(problems) == 0 || time.Now().After(until) {
			break
		}
	}
	for _, id := range ids {
		count := 0
		d.mu.Lock()
		for task := range d.doneRun {
			if strings.HasPrefix(task, id) {
				count++
			}
		}
		d.mu.Unlock()
		if count != tasks[id] && len(problems) == 0 {
			problems = append(problems, fmt.Sprintf("MIXED: %d of %d tasks of job %s are done", count, tasks[id], id))
		}
	}
	return problems, len(ids) > 50
}

// late has workers carry out a few orders late. Long after the last of them, the executor of a lasting task crashes and
// the owner is killed.
func late(d *deployment, trouble bool) ([]string, bool) {
	d.quiet = true
	if trouble {
		d.mu.Lock()
		d.lateUntil = time.Now().Add(5500 * time.Millisecond)
		d.mu.Unlock()
		d.record("orders are late for 5.5 s")
	}
	for number := range 12 {
		id := fmt.Sprintf("%016x", 0xb000+number)
		if !d.submit(id, "ms=400 cpu=2000", map[string]any{"count": 24, "cpu": 2000, "memMb": 200, "estimatedMs": 400}) {
			return nil, false
		}
		time.Sleep(450 * time.Millisecond)
	}
	time.Sleep(15 * time.Second) // the last late order is carried out
	const id = "00000000000000d1"
	if !d.submit(id, "ms=0 cpu=2000", map[string]any{"count": 1, "cpu": 2000, "memMb": 200, "longRunning": true}) {
		return nil, false
	}
	task := id + ".0.0.0"
	at := awaitRun(d, task, 5*time.Second)
	if at == "" {
		return nil, false
	}
	time.Sleep(100 * time.Millisecond)
	if !trouble {
		time.Sleep(10 * time.Second)
		if d.where(task) == "" {
			return []string{"LOST: the task doesn't run"}, true
		}
		return nil, true
	}
	e, owner := d.executorOf(at), d.owner()
	if e == nil || owner == nil {
		return nil, false
	}
	began := time.Now()
	e.crash()
	d.kill(owner)
	time.Sleep(restartIn)
	if err := d.start(owner); err != nil {
		return nil, false
	}
	if err := e.begin(); err != nil {
		return nil, false
	}
	awaitRun(d, task, 40*time.Second)
	down := time.Since(began)
	d.record("the task was down for %s", down.Round(time.Millisecond))
	if down > 10*time.Second {
		return []string{fmt.Sprintf("LOST: a task that is to last didn't run for %s, with capacity for it and nothing disturbed after the first 1.5 s", down.Round(time.Millisecond))}, true
	}
	return nil, true
}

// label has the executors of a kind that stand in one rack be lost for good. Jobs that need that kind can run on those
// of another rack.
func label(d *deployment, trouble bool) ([]string, bool) {
	d.quiet = true
	hand := func(number int) string {
		id := fmt.Sprintf("%016x", 0xc000+number)
		if !d.submit(id, "ms=500 cpu=1000 needs=b", map[string]any{"count": 1, "cpu": 1000, "memMb": 200, "estimatedMs": 500, "requirements": "b"}) {
			return ""
		}
		return id
	}
	const before, after = 8, 12
	waiting := func(ids []string, within time.Duration) []string {
		for until := time.Now().Add(within); ; time.Sleep(500 * time.Millisecond) {
			var out []string
			for _, id := range ids {
				if state := d.state(id); state != "succeeded" {
					out = append(out, id+" shows as "+state)
				}
			}
			if len(out) == 0 || time.Now().After(until) {
				return out
			}
		}
	}
	var ids []string
	for number := range before {
		ids = append(ids, hand(number))
	}
	if problems := waiting(ids, 15*time.Second); len(problems) > 0 {
		d.record("before the trouble: %s", strings.Join(problems, ", "))
		return nil, false
	}
	lost, left := 0, 0
	for _, e := range d.executors {
		switch {
		case e.kind == "b" && e.rack == "r1-0" && trouble:
			e.crash()
			lost++
		case e.kind == "b":
			left++
		}
	}
	d.record("%d executors of kind b are lost for good, %d are left", lost, left)
	time.Sleep(12 * time.Second)
	ids = nil
	for number := range after {
		if id := hand(before + number); id != "" {
			ids = append(ids, id)
		}
	}
	var problems []string
	for _, one := range waiting(ids, 20*time.Second) {
		problems = append(problems, fmt.Sprintf("LOST: job %s after 20 s, with %d idle executors for it", one, left))
	}
	return problems, len(ids) == after
}

// silent has open connections go silent again and again, while jobs run and some last.
func silent(d *deployment, trouble bool) ([]string, bool) {
	d.quiet = true
	var ids []string
	for number := range 6 {
		id := fmt.Sprintf("%016x", 0xd000+number)
		if !d.submit(id, "ms=0 cpu=2000", map[string]any{"count": 4, "cpu": 2000, "memMb": 200, "longRunning": true}) {
			return nil, false
		}
	}
	var problems []string
	for number := range 150 {
		id := fmt.Sprintf("%016x", 0xe000+number)
		if d.submit(id, "ms=600 cpu=2000 chain=4", map[string]any{"count": 4, "cpu": 2000, "memMb": 200, "estimatedMs": 600}, map[string]any{"count": 4, "cpu": 2000, "memMb": 200, "estimatedMs": 600, "after": []int{0}}) {
			ids = append(ids, id)
		}
		if trouble && number%40 == 20 {
			d.silence()
		}
		time.Sleep(300 * time.Millisecond)
	}
	for until := time.Now().Add(15 * time.Second); ; time.Sleep(500 * time.Millisecond) {
		problems = nil
		for _, id := range ids {
			if state := d.state(id); state != "succeeded" {
				problems = append(problems, fmt.Sprintf("LOST: job %s shows as %s", id, state))
			}
		}
		for number := range 24 {
			task := fmt.Sprintf("%016x.0.0.%d", 0xd000+number/4, number%4)
			if d.where(task) == "" {
				problems = append(problems, "LOST: task "+task+" doesn't run")
			}
		}
		if len(problems) == 0 || time.Now().After(until) {
			return problems, true
		}
	}
}

// wide hands in jobs of as many tasks as are taken, while owners are killed.
func wide(d *deployment, trouble bool) ([]string, bool) {
	d.quiet = true
	var ids []string
	for number := range 6 {
		id := fmt.Sprintf("%016x", 0xf000+number)
		steps := []map[string]any{{"count": 500, "cpu": 500, "memMb": 20, "estimatedMs": 200, "checkpointing": true}, {"count": 500, "cpu": 500, "memMb": 20, "estimatedMs": 200, "after": []int{0}}}
		if d.submit(id, "ms=200 cpu=500 chain=500", steps...) {
			ids = append(ids, id)
		}
		time.Sleep(2 * time.Second)
		if owner := d.owner(); trouble && owner != nil {
			d.kill(owner)
			time.Sleep(400 * time.Millisecond)
			_ = d.start(owner)
		}
	}
	var problems []string
	for until := time.Now().Add(60 * time.Second); ; time.Sleep(500 * time.Millisecond) {
		problems = nil
		for _, id := range ids {
			if state := d.state(id); state != "succeeded" {
				problems = append(problems, fmt.Sprintf("LOST: job %s shows as %s", id, state))
			}
		}
		if len(problems) == 0 || time.Now().After(until) {
			return problems, len(ids) > 4
		}
	}
}

// long hands in a job of one task that takes 200 s, and shows how often it is started in 30 s.
func long(d *deployment, _ bool) ([]string, bool) {
	d.quiet = true
	const id = "00000000000000e1"
	if !d.submit(id, "ms=200000 cpu=2000", map[string]any{"count": 1, "cpu": 2000, "memMb": 200, "estimatedMs": 200000}) {
		return nil, false
	}
	time.Sleep(30 * time.Second)
	d.mu.Lock()
	defer d.mu.Unlock()
	fmt.Println("starts of one task in 30 s:", d.starts[id+".0.0.0"])
	return nil, true
}

// flap has one executor, which keeps its id, crash twice after it has left the start of a task unanswered. The start is
// carried out as it comes back for the second time.
func flap(d *deployment, trouble bool) ([]string, bool) {
	const id = "00000000000000f1"
	task := id + ".0.0.0"
	if !d.prepareLateStart(task, 2, trouble) {
		return nil, false
	}
	if !d.submit(id, "ms=9000 cpu=2000", map[string]any{"count": 1, "cpu": 2000, "memMb": 200, "estimatedMs": 9000}) {
		return nil, false
	}
	if !trouble {
		ran := awaitRun(d, task, 5*time.Second) != ""
		time.Sleep(12 * time.Second)
		return nil, ran && d.state(id) == "succeeded"
	}
	flapping := d.lateStarter()
	if flapping == nil {
		return nil, false
	}
	time.Sleep(600 * time.Millisecond)
	flapping.crash()
	time.Sleep(restartIn)
	if flapping.begin() != nil {
		return nil, false
	}
	at := awaitRun(d, task, 8*time.Second)
	if at == "" || at == flapping.id {
		d.record("the task runs on %q", at)
		return nil, false
	}
	time.Sleep(500 * time.Millisecond)
	flapping.crash()
	time.Sleep(restartIn)
	if flapping.begin() != nil {
		return nil, false
	}
	time.Sleep(12 * time.Second)
	return nil, true
}

// prepareLateStart has the first start of a task be carried out late, some lives of its executor later. Other tasks begin
// just before, so that the late order is one of 41. They last, one on an executor, and executors that have some are
// preferred.
func (d *deployment) prepareLateStart(task string, lives int, trouble bool) bool {
	others := map[string]any{"count": 40, "cpu": 5000, "memMb": 200, "longRunning": true, "antiAffinity": 1}
	if !d.submit("00000000000000f2", "ms=0 cpu=5000", others) {
		return false
	}
	time.Sleep(1500 * time.Millisecond)
	d.mu.Lock()
	defer d.mu.Unlock()
	if trouble {
		d.lateStart, d.livesUntilStart = task, lives
	}
	return true
}

// lateStarter waits for the executor that has left a start unanswered, and returns it.
func (d *deployment) lateStarter() *executor {
	for until := time.Now().Add(5 * time.Second); time.Now().Before(until); time.Sleep(waitStep) {
		for _, e := range d.executors {
			e.mu.Lock()
			found := e.hasLateStart
			e.mu.Unlock()
			if found {
				return e
			}
		}
	}
	return nil
}

// again has one executor, which keeps its id, leave the start of a task unanswered and carry out its repetition. After
// the task is done, the executor crashes. The first start is carried out as it comes back.
func again(d *deployment, trouble bool) ([]string, bool) {
	const id = "00000000000000f3"
	task := id + ".0.0.0"
	if !d.prepareLateStart(task, 1, trouble) {
		return nil, false
	}
	if !d.submit(id, "ms=500 cpu=2000", map[string]any{"count": 1, "cpu": 2000, "memMb": 200, "estimatedMs": 500}) {
		return nil, false
	}
	var starter *executor
	if trouble {
		if starter = d.lateStarter(); starter == nil {
			return nil, false
		}
	}
	for until := time.Now().Add(8 * time.Second); d.state(id) != "succeeded"; time.Sleep(100 * time.Millisecond) {
		if time.Now().After(until) {
			return nil, false
		}
	}
	if !trouble {
		time.Sleep(8 * time.Second)
		return nil, true
	}
	time.Sleep(500 * time.Millisecond)
	starter.crash()
	time.Sleep(restartIn)
	if starter.begin() != nil {
		return nil, false
	}
	time.Sleep(12 * time.Second)
	return nil, true
}
