package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"time"
)

const (
	serviceName = "s1"
	executorCPU = 32000
	routeHost   = "jobs.example"
	routePath   = "/jobs/"
	// callTimeout is how long a client waits for an answer.
	callTimeout = 3 * time.Second
)

// perRack is the number of executors of a rack.
const perRack = 8

// size says how large the hosts are, and how many executors of each of the first two racks are of another kind.
type size struct {
	processorShare, link string
	otherKind            int
	// keepsIDs has an executor start under the id that it had before, and tell when its life began.
	keepsIDs bool
}

// small are hosts as a small deployment has them, large the larger ones of a large deployment.
var (
	small = size{processorShare: "0.4", link: "1000.0"}
	fleet = size{processorShare: "0.8", link: "200.0", keepsIDs: true}
	large = size{processorShare: "0.8", link: "200.0", otherKind: 4}
)

// zones are the data centres of the deployment.
var zones = []string{"z1", "z2", "z3"}

// host is a process of the project.
type host struct {
	name, ip, front, readiness string
	settings                   string
	command                    *exec.Cmd
	done                       chan struct{}
}

// deployment is all that a scenario plays with.
type deployment struct {
	size    size
	store   *store
	storeAt string
	// storeListener accepts the connections to the store.
	storeListener *mutingListener
	executors     []*executor
	hosts         []*host
	dir           string
	began         time.Time

	mu      sync.Mutex
	log     *os.File
	running map[string]map[string]bool // by task: where it runs
	done    map[string]int             // by task: a run that ended done and was noted
	doneRun map[string]int             // by task: a run that ended done
	starts  map[string]int
	broken  []string
	quiet   bool
	gangs   gangs
	// lateUntil is until when one order in lateEvery gets no answer and is carried out late.
	lateUntil time.Time
	orders    int
	// lateStart is the task whose first start is carried out late, livesUntilStart how many lives later.
	lateStart       string
	livesUntilStart int
}

func (d *deployment) record(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recordLocked(format, args...)
}

func (d *deployment) recordLocked(format string, args ...any) {
	fmt.Fprintf(d.log, "%8.3f %s\n", time.Since(d.began).Seconds(), fmt.Sprintf(format, args...))
}

func (d *deployment) violation(format string, args ...any) {
	d.broken = append(d.broken, fmt.Sprintf(format, args...))
	d.recordLocked("BROKEN "+format, args...)
}

// takeLateStart reports whether the start of a task is to be carried out late, once.
func (d *deployment) takeLateStart(task string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if task != d.lateStart {
		return false
	}
	d.lateStart = ""
	return true
}

// lateEvery makes a share of 0.055 of the orders late.
const lateEvery = 19

// lateness returns after how long the next order is carried out, zero if it is at once.
func (d *deployment) lateness() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if time.Now().After(d.lateUntil) {
		return 0
	}
	if d.orders++; d.orders%lateEvery != 0 {
		return 0
	}
	return 2*time.Second + time.Duration(rand.IntN(10_000))*time.Millisecond
}

func (d *deployment) started(run *taskRun, executor string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recordLocked("task %s run %d starts on %s", run.task, run.number, executor)
	d.starts[run.task]++
	if d.running[run.task] == nil {
		d.running[run.task] = make(map[string]bool)
	}
	for other := range d.running[run.task] {
		d.violation("TWICE: task %s runs on %s and on %s", run.task, other, executor)
	}
	if noted := d.done[run.task]; noted > 0 {
		d.violation("TWICE: task %s starts as run %d after run %d was noted as done", run.task, run.number, noted)
	}
	d.running[run.task][executor] = true
}

func (d *deployment) ended(run *taskRun, executor, how string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recordLocked("task %s run %d on %s: %s", run.task, run.number, executor, how)
	delete(d.running[run.task], executor)
	if how == "done" {
		d.doneRun[run.task] = run.number
	}
}

func (d *deployment) noted(task string, number int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.doneRun[task] == number {
		d.done[task] = number
	}
}

// overCapacity records that a start goes over an executor's capacity.
func (d *deployment) overCapacity(run *taskRun, executor string, used int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.violation("LIMIT: task %s run %d starts on %s, of which %d are used", run.task, run.number, executor, used)
}

// where returns the executors on which a task runs now.
func (d *deployment) where(task string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id := range d.running[task] {
		return id
	}
	return ""
}

// executorOf returns the executor with a life of the given id.
func (d *deployment) executorOf(id string) *executor {
	for _, e := range d.executors {
		e.mu.Lock()
		same := e.id == id
		e.mu.Unlock()
		if same {
			return e
		}
	}
	return nil
}

// deploy starts the store, the executors and the hosts.
func deploy(dir, record string, executors, hosts int, size size) (*deployment, error) {
	log, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	d := &deployment{
		size: size, store: newStore(), dir: dir, began: time.Now(), log: log, running: make(map[string]map[string]bool),
		done: make(map[string]int), doneRun: make(map[string]int), starts: make(map[string]int),
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d.storeAt = listener.Addr().String()
	d.storeListener = &mutingListener{Listener: listener}
	go func() { _ = (&http.Server{Handler: d.store}).Serve(d.storeListener) }()
	d.configure(1)
	for at := range executors {
		inZone := at / len(zones)
		e := &executor{
			deployment: d, machine: fmt.Sprintf("m%d", at), zone: zones[at%len(zones)], address: "127.0.0.1:0",
			rack: fmt.Sprintf("r%d-%d", at%len(zones)+1, inZone/perRack), kind: "a",
		}
		if at%len(zones) == 0 && inZone < 2*perRack && inZone%perRack < size.otherKind {
			e.kind = "b"
		}
		if err := e.begin(); err != nil {
			return nil, err
		}
		d.executors = append(d.executors, e)
	}
	net2, net3 := 1+rand.IntN(250), 1+rand.IntN(250)
	for at := range hosts {
		h := &host{name: fmt.Sprintf("edge-%s-%d", zones[at%len(zones)], at), ip: fmt.Sprintf("127.%d.%d.%d", net2, net3, 10+at)}
		h.front, h.readiness = h.ip+":8161", h.ip+":8167"
		if err := d.writeSettings(h, zones[at%len(zones)], size); err != nil {
			return nil, err
		}
		if err := d.start(h); err != nil {
			return nil, err
		}
		d.hosts = append(d.hosts, h)
	}
	return d, nil
}

// configure has the operator write a configuration.
func (d *deployment) configure(version int) {
	data, _ := json.Marshal(map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "r-1", "hostname": routeHost, "pathPrefix": routePath, "routeType": "non_idempotent", "timeoutMs": 3000,
			"targetLatencyMs": 1000, "priority": 0, "backend": serviceName, "maxAttempts": 4, "stretch": 2.0,
		}},
		"services": []map[string]any{{"name": serviceName, "healthPath": "/health", "maxConnections": 64, "protocol": "h1", "enforcesCapacity": true}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	d.store.put("op", "config", data)
}

var gap = regexp.MustCompile(`\{\{([a-zA-Z0-9_.]+)\}\}`)

// writeSettings fills in the template of a host's settings.
func (d *deployment) writeSettings(h *host, zone string, size size) error {
	template, err := os.ReadFile("deploy/host.yaml.tmpl")
	if err != nil {
		return err
	}
	values := map[string]string{
		"nodeName": h.name, "zone": zone, "ip": h.ip, names["front"]: h.front, names["readiness"]: h.readiness, "internalPorts.0": "7720",
		"limits.cpuShare": size.processorShare, "limits.linkMbps": size.link, "platform.address": d.storeAt, "bounds.holdMaxMs": "10000",
		"bounds.stopTimeoutMs": "900", "bounds.status_s": "120", "bounds.graceS": "6",
	}
	filled := gap.ReplaceAllStringFunc(string(template), func(one string) string { return values[strings.Trim(one, "{}")] })
	h.settings = filepath.Join(d.dir, h.name+".yaml")
	return os.WriteFile(h.settings, []byte(filled), 0o600)
}

// start starts the process of a host.
func (d *deployment) start(h *host) error {
	log, err := os.OpenFile(filepath.Join(d.dir, h.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	h.command = exec.Command("target/cottonhost")
	h.command.Env = append(os.Environ(), names["settings"]+"="+h.settings, "HOST_MEMORY_MB=284", "HOST_DESCRIPTORS=4100")
	h.command.Stdout, h.command.Stderr = log, log
	if err := h.command.Start(); err != nil {
		return err
	}
	h.done = make(chan struct{})
	command, done := h.command, h.done
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(done)
	}()
	d.record("host %s starts", h.name)
	return nil
}

// kill ends the process of a host with SIGKILL.
func (d *deployment) kill(h *host) {
	d.record("host %s is killed", h.name)
	_ = h.command.Process.Kill()
	<-h.done
}

// owner returns the host that says last that it has taken over.
func (d *deployment) owner() *host {
	var found *host
	latest := ""
	for _, h := range d.hosts {
		data, _ := os.ReadFile(filepath.Join(d.dir, h.name+".log"))
		for line := range strings.Lines(string(data)) {
			var entry struct {
				Time, Msg, Error string
			}
			if json.Unmarshal([]byte(line), &entry) == nil && entry.Msg == "take over" && entry.Error == "" && entry.Time > latest {
				found, latest = h, entry.Time
			}
		}
	}
	return found
}

// silence makes all open connections to the store and to executors go silent.
func (d *deployment) silence() {
	d.record("all open connections to the store and to executors go silent")
	d.storeListener.silence()
	for _, e := range d.executors {
		e.mu.Lock()
		listener := e.listener
		e.mu.Unlock()
		listener.silence()
	}
}

// end ends all processes that the deployment has started.
func (d *deployment) end() {
	for _, h := range d.hosts {
		_ = h.command.Process.Kill()
		<-h.done
	}
}

// ready waits until all hosts are ready.
func (d *deployment) ready() bool {
	for until := time.Now().Add(25 * time.Second); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		count := 0
		for _, h := range d.hosts {
			if response, err := http.Get("http://" + h.readiness + names["ready"]); err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					count++
				}
			}
		}
		if count == len(d.hosts) {
			return true
		}
	}
	return false
}

// call makes one call of a client; status 0 is no answer.
func (d *deployment) call(h *host, method, id string, body any) (int, string) {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+h.front+routePath+id, bytes.NewReader(data))
	if err != nil {
		return 0, err.Error()
	}
	request.Host = routeHost
	request.Header.Set("X-Deadline-Ms", "3000")
	request.Header.Set("Content-Type", "application/json")
	status, answer := 0, ""
	if response, err := http.DefaultClient.Do(request); err == nil {
		content, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		status, answer = response.StatusCode, string(content)
	}
	if !d.quiet || method != http.MethodGet {
		d.record("client %s %s at %s: %d %s", method, id, h.name, status, strings.TrimSpace(answer))
	}
	return status, answer
}

// submit hands a job in until it is accepted.
func (d *deployment) submit(id, payload string, steps ...map[string]any) bool {
	return d.hand(id, map[string]any{names["payload"]: payload, "steps": steps})
}

// hand hands a job in until it is accepted.
func (d *deployment) hand(id string, body map[string]any) bool {
	for try := range 20 {
		if status, _ := d.call(d.hosts[try%len(d.hosts)], http.MethodPost, id, body); status >= 200 && status < 300 {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// state asks for the state of a job until a host answers.
func (d *deployment) state(id string) string {
	for try := range 20 {
		status, answer := d.call(d.hosts[try%len(d.hosts)], http.MethodGet, id, nil)
		var shown struct {
			State string `json:"state"`
		}
		switch {
		case status == http.StatusOK && json.Unmarshal([]byte(answer), &shown) == nil:
			return shown.State
		case status == http.StatusGone:
			return "gone"
		}
		time.Sleep(300 * time.Millisecond)
	}
	return "no answer"
}
