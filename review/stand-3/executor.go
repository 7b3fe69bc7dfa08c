package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat = 1500 * time.Millisecond
	maxHold   = 10 * time.Second
	stopTime  = 100 * time.Millisecond
)

// taskRun is a run of a task on an executor.
type taskRun struct {
	task     string
	number   int
	began    time.Time
	takes    time.Duration
	cpu      int
	fails    bool
	stopping bool
	ended    bool
	// gang is the number of members of a gang, which work only together; apart bounds the tasks of one step and time on
	// an executor, needs is a label, first and interval are those of a schedule, chain is the number of tasks of a step
	// of which each comes after the one before.
	gang, apart, chain int
	needs              string
	first, interval    int64
	// together is the gang that the run belongs to.
	together *gang
}

// endedRun is an end that an executor lists.
type endedRun struct {
	serial int
	task   string
	number int
	how    string
}

// executor is one machine with the lives that follow each other on it.
type executor struct {
	deployment *deployment
	machine    string
	zone, rack string
	kind       string
	// hasLateStart says that a start was left unanswered.
	hasLateStart bool
	address      string

	mu       sync.Mutex
	life     int
	id       string
	up       bool
	draining bool
	server   *http.Server
	listener *mutingListener
	born     time.Time
	runs     map[string]*taskRun
	last     map[string]int
	ends     []endedRun
	serial   int
	fence    int64
	lease    int64
	sequence int
	changed  chan struct{}
}

// begin starts a new life.
func (e *executor) begin() error {
	listener, err := net.Listen("tcp", e.address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.address = listener.Addr().String()
	e.life++
	e.id = fmt.Sprintf("i-%s-%d", e.machine, e.life)
	if e.deployment.size.keepsIDs {
		e.id = "i-" + e.machine
	}
	e.up, e.draining, e.born, e.changed = true, false, time.Now(), make(chan struct{})
	e.runs, e.last, e.ends, e.serial, e.fence, e.lease = make(map[string]*taskRun), make(map[string]int), nil, 0, 0, 0
	server, muting := &http.Server{Handler: e}, &mutingListener{Listener: listener}
	e.server, e.listener = server, muting
	go func() { _ = server.Serve(muting) }()
	go e.tick(e.life)
	go e.beat(e.life)
	e.deployment.record("executor %s is up at %s", e.id, e.address)
	return nil
}

// crash ends the present life at once.
func (e *executor) crash() {
	e.mu.Lock()
	if !e.up {
		e.mu.Unlock()
		return
	}
	e.up = false
	server, id, life := e.server, e.id, e.life
	for _, run := range e.runs {
		if run.together != nil {
			run.together.breakUp()
		}
		e.deployment.ended(run, id, "gone")
	}
	e.runs = nil
	e.mu.Unlock()
	_ = server.Close()
	e.deployment.record("executor %s crashes", id)
	go func() {
		time.Sleep(3 * heartbeat)
		e.mu.Lock()
		replaced := e.deployment.size.keepsIDs && e.life != life
		e.mu.Unlock()
		if !replaced {
			e.deployment.store.remove("servers", id)
		}
	}()
}

// beat writes the executor's entry until the life ends.
func (e *executor) beat(life int) {
	for {
		e.mu.Lock()
		if e.life != life || !e.up {
			e.mu.Unlock()
			return
		}
		e.sequence++
		state := "ready"
		if e.draining {
			state = "draining"
		}
		fields := map[string]any{
			"backend": serviceName, "address": e.address, "zone": e.zone, "version": "v1", "slots": 8, "state": state, "sequence": e.sequence,
			"capacity": map[string]any{"cpu": executorCPU, "memMb": 128000}, "labels": []string{e.kind, e.rack}, "machine": e.machine,
		}
		e.addBirth(fields)
		entry, _ := json.Marshal(fields)
		id := e.id
		e.mu.Unlock()
		e.deployment.store.put("servers", id, entry)
		time.Sleep(heartbeat)
	}
}

// addBirth adds when the life began, where executors keep their ids. The caller holds the lock.
func (e *executor) addBirth(fields map[string]any) {
	if e.deployment.size.keepsIDs {
		fields["born"] = e.born.UnixMilli()
	}
}

// clock is the executor's steady clock in milliseconds.
func (e *executor) clock() int64 { return time.Since(e.born).Milliseconds() + 1 }

// tick ends runs that are over, and all once the lease has ended.
func (e *executor) tick(life int) {
	for {
		time.Sleep(5 * time.Millisecond)
		e.mu.Lock()
		if e.life != life || !e.up {
			e.mu.Unlock()
			return
		}
		for _, run := range e.runs {
			switch {
			case e.clock() > e.lease:
				e.end(run, "lapsed")
			case run.together != nil && !run.together.complete():
				if run.together.isBroken() {
					e.end(run, "broken")
				} else if time.Since(run.began) > gangWait {
					e.end(run, "alone")
				}
			case run.together != nil && run.together.isBroken():
				e.end(run, "broken")
			case run.together != nil && run.together.isDone(run.takes):
				e.end(run, "done")
			case run.together != nil:
			case run.takes > 0 && time.Since(run.began) >= run.takes && run.fails:
				e.end(run, "failed")
			case run.takes > 0 && time.Since(run.began) >= run.takes:
				e.end(run, "done")
			}
		}
		e.mu.Unlock()
	}
}

// end ends a run. The caller holds the lock.
func (e *executor) end(run *taskRun, how string) {
	if run.ended {
		return
	}
	run.ended = true
	if run.together != nil && how != "done" {
		run.together.breakUp()
	}
	delete(e.runs, run.task)
	e.last[run.task] = max(e.last[run.task], run.number)
	e.serial++
	e.ends = append(e.ends, endedRun{e.serial, run.task, run.number, how})
	e.deployment.ended(run, e.id, how)
	close(e.changed)
	e.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (e *executor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var call map[string]any
	if r.Method != http.MethodPost || json.NewDecoder(r.Body).Decode(&call) != nil {
		w.WriteHeader(http.StatusOK) // its health
		return
	}
	e.mu.Lock()
	other := !e.up || r.Header.Get("X-Expected-Instance") != e.id
	e.mu.Unlock()
	if other {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == names["look"] {
		e.look(w, r, call)
		return
	}
	if r.URL.Path == names["start"] && e.deployment.takeLateStart(text(call, "task")) {
		go e.carryOutInLaterLife(call, e.deployment.livesUntilStart)
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if after := e.deployment.lateness(); after > 0 {
		go e.carryOutLate(r.URL.Path, r.Header.Get("X-Expected-Instance"), call, after)
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	status, reason := e.order(r.URL.Path, call)
	fields := map[string]any{"clockMs": e.clock()}
	if reason != "" {
		fields["reason"] = reason
	}
	write(w, status, fields)
}

// lateInLife is how long after the beginning of a life a start is carried out that came to an earlier one.
const lateInLife = 50 * time.Millisecond

// carryOutInLaterLife carries out a start late: when the executor is back for the given time, if that is 2 to 12 s after
// the start came.
func (e *executor) carryOutInLaterLife(call map[string]any, lives int) {
	came := time.Now()
	e.mu.Lock()
	first := e.life
	e.hasLateStart = true
	e.mu.Unlock()
	e.deployment.record("executor %s leaves the start of task %s run %d unanswered, for later", e.id, text(call, "task"), number(call, "runId"))
	for time.Since(came) < 12*time.Second {
		time.Sleep(time.Millisecond)
		e.mu.Lock()
		if e.up && e.life == first+lives && time.Since(e.born) >= lateInLife && time.Since(came) >= 2*time.Second {
			status, reason := e.order(names["start"], call)
			e.deployment.record("executor %s carries out the late start of task %s run %d after %s: %d %s", e.id, text(call, "task"),
				number(call, "runId"), time.Since(came).Round(time.Millisecond), status, reason)
			e.mu.Unlock()
			return
		}
		e.mu.Unlock()
	}
}

// carryOutLate carries out an order after some time, if the life that it names is still there.
func (e *executor) carryOutLate(path, id string, call map[string]any, after time.Duration) {
	e.deployment.record("executor %s leaves an order for task %s run %d unanswered for %s", id, text(call, "task"), number(call, "runId"), after.Round(time.Millisecond))
	time.Sleep(after)
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.up || e.id != id {
		return
	}
	status, reason := e.order(path, call)
	e.deployment.record("executor %s carries out the late order for task %s run %d: %d %s", id, text(call, "task"), number(call, "runId"), status, reason)
}

func write(w http.ResponseWriter, status int, fields map[string]any) {
	data, _ := json.Marshal(fields) // it holds nothing that can't be encoded
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func number(call map[string]any, name string) int64 {
	value, _ := call[name].(float64)
	return int64(value)
}

func text(call map[string]any, name string) string {
	value, _ := call[name].(string)
	return value
}

// extend applies a lease. The caller holds the lock.
func (e *executor) extend(until int64) {
	e.lease = max(e.lease, min(until, e.clock()+maxHold.Milliseconds()))
}

// fenced applies a fence and reports whether the call is stale. The caller holds the lock.
func (e *executor) fenced(call map[string]any) bool {
	fence := number(call, names["fence"])
	if fence < e.fence {
		return true
	}
	e.fence = fence
	return false
}

// order carries out an order. The caller holds the lock.
func (e *executor) order(path string, call map[string]any) (status int, reason string) {
	if e.fenced(call) {
		return http.StatusConflict, "fence"
	}
	task, run := text(call, "task"), int(number(call, "runId"))
	present := e.runs[task]
	switch path {
	case names["start"]:
		return e.start(task, run, present, call)
	case names["stop"]:
		e.last[task] = max(e.last[task], run)
		if present != nil && present.number == run && !present.stopping {
			present.stopping = true
			go func() {
				time.Sleep(stopTime)
				e.mu.Lock()
				defer e.mu.Unlock()
				if e.up && e.runs[task] == present {
					e.end(present, "stopped")
				}
			}()
		}
		return http.StatusOK, ""
	case names["pace"]:
		return http.StatusOK, ""
	}
	return http.StatusBadRequest, ""
}

// start starts a run. The caller holds the lock.
func (e *executor) start(task string, run int, present *taskRun, call map[string]any) (status int, reason string) {
	deadline := number(call, "deadlineMs")
	if present != nil && present.number == run {
		e.extend(deadline)
		return http.StatusOK, ""
	}
	if deadline <= e.clock() {
		return http.StatusConflict, "late"
	}
	e.extend(deadline)
	if run <= e.last[task] || present != nil {
		return http.StatusConflict, "old"
	}
	next := readPayload(text(call, names["payload"]))
	next.task, next.number, next.began = task, run, time.Now()
	used := 0
	for _, other := range e.runs {
		used += other.cpu
	}
	if used+next.cpu > executorCPU {
		e.deployment.overCapacity(next, e.id, used)
		return http.StatusConflict, "room"
	}
	e.runs[task] = next
	if next.gang > 0 {
		next.together = e.deployment.gangs.join(task, run, next.gang)
	}
	e.checkPlace(next)
	e.deployment.started(next, e.id)
	return http.StatusOK, ""
}

// readPayload reads what the stand-in's clients write into the text of a job: how long a task takes and how many
// processors it asks for.
func readPayload(payload string) *taskRun {
	run := &taskRun{}
	for _, word := range strings.Fields(payload) {
		name, value, _ := strings.Cut(word, "=")
		count := 0
		_, _ = fmt.Sscan(value, &count)
		switch name {
		case "ms":
			run.takes = time.Duration(count) * time.Millisecond
		case "cpu":
			run.cpu = count
		case "fails":
			run.fails = count > 0
		case "gang":
			run.gang = count
		case "apart":
			run.apart = count
		case "chain":
			run.chain = count
		case "needs":
			run.needs = value
		case "first":
			_, _ = fmt.Sscan(value, &run.first)
		case "interval":
			run.interval = int64(count)
		}
	}
	return run
}

// look lists what runs and what has ended.
func (e *executor) look(w http.ResponseWriter, r *http.Request, call map[string]any) {
	e.mu.Lock()
	if e.fenced(call) {
		fields := map[string]any{"clockMs": e.clock(), "reason": "fence"}
		e.mu.Unlock()
		write(w, http.StatusConflict, fields)
		return
	}
	if until := number(call, "deadlineMs"); until > 0 {
		e.extend(until)
	}
	seen := int(number(call, names["seen"]))
	for len(e.ends) > 0 && e.ends[0].serial <= seen {
		e.deployment.noted(e.ends[0].task, e.ends[0].number)
		e.ends = e.ends[1:]
	}
	life, timeout := e.life, time.After(time.Duration(number(call, "waitMs"))*time.Millisecond)
	for len(e.ends) == 0 && number(call, "waitMs") > 0 {
		changed := e.changed
		e.mu.Unlock()
		over := false
		select {
		case <-changed:
		case <-timeout:
			over = true
		case <-r.Context().Done():
			over = true
		}
		e.mu.Lock()
		if over || e.life != life || !e.up {
			break
		}
	}
	if e.life != life || !e.up {
		e.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	running, ended := [][]any{}, [][]any{}
	for _, run := range e.runs {
		percent := 100
		if run.takes > 0 {
			percent = min(99, int(100*run.worked()/run.takes))
		}
		running = append(running, []any{run.task, run.number, "", percent, run.cpu})
	}
	for _, one := range e.ends {
		ended = append(ended, []any{one.serial, one.task, one.number, one.how, ""})
	}
	fields := map[string]any{"clockMs": e.clock(), "running": running, "ended": ended}
	e.addBirth(fields)
	e.mu.Unlock()
	write(w, http.StatusOK, fields)
}
