package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// What an executor has, and its times, as on the sheet of the small deployment.
const (
	capacityCPU    = 32_000
	capacityMemory = 128_000
	maxLease       = 10 * time.Second
	stopTime       = 100 * time.Millisecond
	gangWait       = 3 * time.Second
	failTime       = 50 * time.Millisecond
	maxHoldWait    = 2 * time.Second
	stepTime       = 10 * time.Millisecond
)

// greyPath sets for how many milliseconds an executor fails all that it starts, its health being good.
const greyPath = "/stand/grey"

// work is what the case's clients write into the specification of a task: how long it takes, how many members its gang
// has, and whether it lasts. The scheduler passes it on unread.
type work struct {
	TakesMs int  `json:"takesMs"`
	Gang    int  `json:"gang,omitempty"`
	Lasts   bool `json:"lasts,omitempty"`
}

// run is a run of a task on an executor.
type run struct {
	task    string
	number  uint64
	work    work
	came    time.Time
	began   time.Time // zero while its gang isn't complete
	grey    bool
	stopped time.Time // when a stop was asked for
}

// gangKey names the run of a gang: the step and the run's number.
func (r *run) gangKey() string {
	return r.task[:strings.LastIndex(r.task, ".")] + "#" + strconv.FormatUint(r.number, 10)
}

// executor is one life of an executor.
type executor struct {
	id, address, zone, rack, service string
	store                            string
	began                            time.Time
	log                              func(format string, values ...any)
	// host is the process's other executors, with which members of a gang find each other.
	host *executors

	highest  uint64
	lease    int64 // on the executor's clock
	running  map[string]*run
	past     map[string]uint64 // the highest run of each task that stopped or ended here
	ended    [][5]any
	lastEnd  uint64
	greyTill time.Time
	sequence int
}

// executors are the executors of one process. One lock guards them all.
type executors struct {
	mu  sync.Mutex
	all []*executor
}

// runExecutors runs executors until the process is killed. Each argument is ID,ADDRESS,ZONE,RACK.
func runExecutors(arguments []string) error {
	flags := flag.NewFlagSet("executor", flag.ContinueOnError)
	service := flags.String("service", "", "service")
	storeAddress := flags.String("store", "", "address of the store")
	logPath := flags.String("log", "", "file to which starts and ends are appended")
	if err := flags.Parse(arguments); err != nil {
		return err
	}
	file, err := os.OpenFile(*logPath, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	host := &executors{}
	for _, one := range flags.Args() {
		fields := strings.Split(one, ",")
		e := &executor{
			id: fields[0], address: fields[1], zone: fields[2], rack: fields[3], service: *service, store: *storeAddress,
			began: time.Now(), host: host, running: make(map[string]*run), past: make(map[string]uint64),
		}
		e.log = func(format string, values ...any) {
			_, _ = fmt.Fprintf(file, "%d %s %s\n", time.Now().UnixMilli(), e.id, fmt.Sprintf(format, values...))
		}
		host.all = append(host.all, e)
		listener, err := net.Listen("tcp", e.address)
		if err != nil {
			return err
		}
		go func() { _ = http.Serve(listener, e) }()
		go e.beat()
	}
	for ; ; time.Sleep(stepTime) {
		host.step()
	}
}

// beat writes the executor's entry into the store.
func (e *executor) beat() {
	for ; ; time.Sleep(beatInterval) {
		e.sequence++
		entry, _ := json.Marshal(map[string]any{
			"backend": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
			"capacity": map[string]any{"cpu": capacityCPU, "memMb": capacityMemory, "gpu": 0}, "labels": []string{"a", e.rack},
			"clockMs": e.clock(), "sequence": e.sequence,
		})
		response, err := http.Post("http://"+e.store+beatPath+"?id="+e.id, "application/json", bytes.NewReader(entry))
		if err == nil {
			_ = response.Body.Close()
		}
	}
}

// clock is the executor's steady clock.
func (e *executor) clock() int64 { return time.Since(e.began).Milliseconds() }

// step advances what runs on all executors of the process.
func (h *executors) step() {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	members := make(map[string]int)
	for _, e := range h.all {
		for _, r := range e.running {
			if r.work.Gang > 0 {
				members[r.gangKey()]++
			}
		}
	}
	var ends []func()
	for _, e := range h.all {
		for _, r := range e.running {
			if r.began.IsZero() && (r.work.Gang == 0 || members[r.gangKey()] == r.work.Gang) {
				r.began = now
				r.grey = now.Before(e.greyTill)
				e.log("begins %s run %d", r.task, r.number)
			}
			if how := e.endOf(r, now); how != "" {
				ends = append(ends, func() { e.end(r, how) })
			}
		}
	}
	// All that has ended by now has ended: what a member of a gang does isn't known elsewhere before the next step.
	for _, end := range ends {
		end()
	}
}

// endOf returns how a run ends now, or nothing.
func (e *executor) endOf(r *run, now time.Time) string {
	switch {
	case e.clock() > e.lease:
		return "lapsed"
	case !r.stopped.IsZero() && now.Sub(r.stopped) >= stopTime:
		return "stopped"
	case r.began.IsZero() && now.Sub(r.came) > gangWait:
		return "alone"
	case r.began.IsZero():
		return ""
	case r.grey && now.Sub(r.began) >= failTime:
		return "failed"
	case !r.grey && !r.work.Lasts && now.Sub(r.began) >= time.Duration(r.work.TakesMs)*time.Millisecond:
		return "done"
	case r.work.Gang > 0 && e.host.gangBroken(r):
		return "broken"
	}
	return ""
}

// gangBroken reports whether another member of a begun run of a gang has ended.
func (h *executors) gangBroken(r *run) bool {
	count := 0
	for _, e := range h.all {
		for _, other := range e.running {
			if other.work.Gang > 0 && other.gangKey() == r.gangKey() {
				count++
			}
		}
	}
	return count < r.work.Gang
}

func (e *executor) end(r *run, how string) {
	delete(e.running, r.task)
	e.past[r.task] = max(e.past[r.task], r.number)
	e.lastEnd++
	e.ended = append(e.ended, [5]any{e.lastEnd, r.task, r.number, how, ""})
	e.log("ends %s run %d %s", r.task, r.number, how)
}

func (e *executor) percent(r *run) int {
	switch {
	case r.began.IsZero():
		return 0
	case r.work.Lasts:
		return 100 // at work
	case r.work.TakesMs == 0:
		return 0
	}
	return min(99, int(time.Since(r.began).Milliseconds()*100/int64(r.work.TakesMs)))
}

func (e *executor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if r.URL.Path == greyPath {
		span, _ := strconv.Atoi(r.URL.Query().Get("ms"))
		e.host.mu.Lock()
		e.greyTill = time.Now().Add(time.Duration(span) * time.Millisecond)
		e.host.mu.Unlock()
		return
	}
	if r.URL.Path == "/health" {
		w.Header().Set("X-Instance-Id", e.id)
		return
	}
	if intended := r.Header.Get(names["instance"]); intended != "" && intended != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	fields := make(map[string]any)
	if len(body) > 0 && json.Unmarshal(body, &fields) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	status, answer := e.answer(r, fields)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(answer)
}

func number(fields map[string]any, name string) uint64 {
	value, _ := fields[name].(float64)
	return uint64(value)
}

func (e *executor) answer(r *http.Request, fields map[string]any) (int, map[string]any) {
	e.host.mu.Lock()
	fence := number(fields, names["fence"])
	if fence < e.highest {
		defer e.host.mu.Unlock()
		return http.StatusConflict, map[string]any{"clockMs": e.clock(), "reason": "fence"}
	}
	e.highest = fence
	e.host.mu.Unlock()
	switch r.URL.Path {
	case names["start"]:
		return e.start(fields)
	case names["stop"]:
		return e.stop(fields)
	case names["hold"]:
		return e.hold(r, fields)
	case names["pace"]:
		return http.StatusOK, map[string]any{"clockMs": e.clock()}
	}
	return http.StatusNotFound, nil
}

// extend adopts a lease. What has lapsed ends with the next step.
func (e *executor) extend(deadline uint64) {
	if deadline > 0 && (len(e.running) == 0 || e.clock() <= e.lease) {
		e.lease = max(e.lease, min(int64(deadline), e.clock()+maxLease.Milliseconds()))
	}
}

func (e *executor) start(fields map[string]any) (int, map[string]any) {
	e.host.mu.Lock()
	defer e.host.mu.Unlock()
	task, _ := fields["task"].(string)
	spec, _ := fields[names["spec"]].(string)
	r := &run{task: task, number: number(fields, "runId"), came: time.Now()}
	refuse := func(reason string) (int, map[string]any) {
		e.log("refuses %s run %d: %s", task, r.number, reason)
		return http.StatusConflict, map[string]any{"clockMs": e.clock(), "reason": reason}
	}
	if json.Unmarshal([]byte(spec), &r.work) != nil {
		return http.StatusBadRequest, map[string]any{"clockMs": e.clock()}
	}
	e.extend(number(fields, "deadlineMs"))
	present := e.running[task]
	switch {
	case present != nil && present.number == r.number:
		return http.StatusOK, map[string]any{"clockMs": e.clock()}
	case present != nil || r.number <= e.past[task]:
		return refuse("old")
	case e.lease <= e.clock() || int64(number(fields, "deadlineMs")) <= e.clock():
		return refuse("late")
	}
	e.running[task] = r
	e.log("starts %s run %d", task, r.number)
	return http.StatusOK, map[string]any{"clockMs": e.clock()}
}

func (e *executor) stop(fields map[string]any) (int, map[string]any) {
	e.host.mu.Lock()
	defer e.host.mu.Unlock()
	task, _ := fields["task"].(string)
	run := number(fields, "runId")
	present := e.running[task]
	switch {
	case present != nil && present.number == run && present.stopped.IsZero():
		present.stopped = time.Now()
		e.log("is to stop %s run %d", task, run)
	case present == nil:
		e.past[task] = max(e.past[task], run)
	}
	return http.StatusOK, map[string]any{"clockMs": e.clock()}
}

func (e *executor) hold(r *http.Request, fields map[string]any) (int, map[string]any) {
	e.host.mu.Lock()
	e.extend(number(fields, "deadlineMs"))
	seen := number(fields, names["seen"])
	for len(e.ended) > 0 && e.ended[0][0].(uint64) <= seen {
		e.log("note is taken of end %d of %v run %v %v", e.ended[0][0], e.ended[0][1], e.ended[0][2], e.ended[0][3])
		e.ended = e.ended[1:]
	}
	e.host.mu.Unlock()
	until := time.Now().Add(min(maxHoldWait, time.Duration(number(fields, "waitMs"))*time.Millisecond))
	for {
		e.host.mu.Lock()
		if len(e.ended) > 0 || !time.Now().Before(until) || r.Context().Err() != nil {
			running := [][5]any{}
			for _, one := range e.running {
				running = append(running, [5]any{one.task, one.number, "", e.percent(one), 0})
			}
			ended := append([][5]any{}, e.ended[:min(len(e.ended), 500)]...)
			e.host.mu.Unlock()
			return http.StatusOK, map[string]any{"clockMs": e.clock(), "running": running, "ended": ended}
		}
		e.host.mu.Unlock()
		time.Sleep(stepTime)
	}
}
