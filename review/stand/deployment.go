package main

import (
	"bufio"
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
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The deployment that every case plays: settings as on the sheet of a small one.
const (
	hostCount     = 3
	executorCount = 12
	serviceName   = "huvo11a"
	hostHeader    = "nony24.example"
	pathPrefix    = "/lohu930/"
	clientPort    = "8161"
	readyPort     = "8167"
	peerPort      = "7720"
	executorPort  = "8080"
	storePort     = "8169"
	metricsPort   = "9102" // the deploy file names it
	maxRunTime    = 115 * time.Second
	callDeadline  = 3 * time.Second
)

var zones = []string{"werkstatt-nidau", "werkstatt-biel", "werkstatt-ins"}

// deployment is the platform as a case sees it.
type deployment struct {
	trouble  bool
	record   *os.File
	began    time.Time
	folder   string
	root     string
	network  string // the first three numbers of all addresses
	store    *store
	attempts int // maxAttempts of the queue
	hosts    [hostCount]*process

	mu        sync.Mutex
	processes []*process
	nextLife  int
	broken    []string
}

// process is one process that this one started.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}
}

func newDeployment(recordPath string, trouble bool) (*deployment, error) {
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	d := &deployment{trouble: trouble, record: record, began: time.Now(), folder: folder, root: root, attempts: 2}
	if d.network, err = freeNetwork(); err != nil {
		return nil, err
	}
	if d.store, err = newStore(d.network + ".200:" + storePort); err != nil {
		return nil, err
	}
	time.AfterFunc(maxRunTime, func() {
		d.note("the case took too long")
		d.close()
		os.Exit(couldntRun)
	})
	d.note("disruption: %v; the addresses begin with %s", trouble, d.network)
	return d, nil
}

// freeNetwork returns a part of loopback on whose addresses nobody listens.
func freeNetwork() (string, error) {
	for range 50 {
		network := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		free := true
		for _, address := range []string{".200:" + storePort, ".1:" + clientPort, ".1:" + metricsPort, ".101:" + executorPort} {
			listener, err := net.Listen("tcp", network+address)
			if err != nil {
				free = false
				break
			}
			_ = listener.Close()
		}
		if free {
			return network, nil
		}
	}
	return "", fmt.Errorf("no free addresses on loopback")
}

// note writes a line into the record.
func (d *deployment) note(format string, values ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	line := fmt.Sprintf("%7.3f %s\n", time.Since(d.began).Seconds(), fmt.Sprintf(format, values...))
	_, _ = d.record.WriteString(line)
	fmt.Print(line)
}

// breaks records that a rule was broken.
func (d *deployment) breaks(format string, values ...any) {
	d.broken = append(d.broken, fmt.Sprintf(format, values...))
}

// close ends all processes and writes what ran into the record.
func (d *deployment) close() {
	d.mu.Lock()
	processes := d.processes
	d.mu.Unlock()
	for _, p := range processes {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
	}
	for _, p := range processes {
		<-p.done
	}
	if lines, err := d.executorLog(); err == nil {
		d.note("what the executors did (Unix milliseconds, executor, what):")
		_, _ = d.record.WriteString(strings.Join(lines, "\n") + "\n")
	}
	// KEEP names a folder to which the logs of all processes are copied.
	if keep := os.Getenv("KEEP"); keep != "" {
		_ = os.CopyFS(keep, os.DirFS(d.folder))
	}
	_ = os.RemoveAll(d.folder)
	_ = d.record.Close()
}

func (d *deployment) start(name string, env []string, program string, arguments ...string) (*process, error) {
	output, err := os.OpenFile(filepath.Join(d.folder, name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(program, arguments...)
	cmd.Dir, cmd.Stdout, cmd.Stderr = d.root, output, output
	cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG")}, env...)
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{name: name, cmd: cmd, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		_ = output.Close()
		close(p.done)
	}()
	d.mu.Lock()
	d.processes = append(d.processes, p)
	d.mu.Unlock()
	return p, nil
}

func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// hostAddress returns an address of a host.
func (d *deployment) hostAddress(host int, port string) string {
	return fmt.Sprintf("%s.%d:%s", d.network, host+1, port)
}

func (d *deployment) executorAddress(at int) string {
	return fmt.Sprintf("%s.%d:%s", d.network, 101+at, executorPort)
}

var gap = regexp.MustCompile(`\{\{([^}]*)\}\}`)

func hostName(host int) string { return fmt.Sprintf("edge-%s-%d", zones[host%len(zones)], host+1) }

// startHost starts a host as the deploy file says, with the template's gaps filled.
func (d *deployment) startHost(host int) error {
	name := hostName(host)
	template, err := os.ReadFile(filepath.Join(d.root, "deploy", "host.yaml.tmpl"))
	if err != nil {
		return err
	}
	values := map[string]string{
		"nodeName": name, "zone": zones[host%len(zones)], "ip": fmt.Sprintf("%s.%d", d.network, host+1),
		names["bind"] + ".front":     d.hostAddress(host, clientPort),
		names["bind"] + ".readiness": d.hostAddress(host, readyPort),
		"internalPorts.0":            peerPort, "limits.cpuShare": "0.4", "limits.linkMbps": "1000.0",
		"platform.address": d.network + ".200:" + storePort, "bounds.holdMaxMs": "10000", "bounds.stopTimeoutMs": "900",
		"bounds.status_s": "120", "bounds.graceS": "6",
	}
	missing := ""
	settings := gap.ReplaceAllStringFunc(string(template), func(found string) string {
		value, known := values[gap.FindStringSubmatch(found)[1]]
		if !known {
			missing = found
		}
		return value
	})
	if missing != "" {
		return fmt.Errorf("no value for %s", missing)
	}
	path := filepath.Join(d.folder, name+".yaml")
	if err := os.WriteFile(path, []byte(settings), 0o644); err != nil {
		return err
	}
	d.hosts[host], err = d.start(name, []string{names["settings"] + "=" + path}, filepath.Join(d.root, "target", "cottonhost"))
	return err
}

// lifeOf describes a new life of an executor for the command line of its process.
func (d *deployment) lifeOf(at int) (id, argument string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.nextLife++
	id = fmt.Sprintf("i-%d-%06x", at, d.nextLife)
	return id, fmt.Sprintf("%s,%s,%s,r1-%d", id, d.executorAddress(at), zones[at%len(zones)], at/4+1)
}

func (d *deployment) executorLogPath() string { return filepath.Join(d.folder, "executors.txt") }

// startExecutors starts one process with executors.
func (d *deployment) startExecutors(which ...int) (*process, error) {
	program, err := os.Executable()
	if err != nil {
		return nil, err
	}
	arguments := []string{"executor", "-service", serviceName, "-store", d.network + ".200:" + storePort, "-log", d.executorLogPath()}
	for _, at := range which {
		_, argument := d.lifeOf(at)
		arguments = append(arguments, argument)
	}
	return d.start(fmt.Sprintf("executor-%d-%d", which[0], d.nextLife), nil, program, arguments...)
}

// executorLog returns what the executors have noted.
func (d *deployment) executorLog() ([]string, error) {
	file, err := os.Open(d.executorLogPath())
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	var lines []string
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		lines = append(lines, scanner.Text())
	}
	return lines, scanner.Err()
}

// noted returns the fields of the lines that executors noted about a task: time, executor, and what.
func (d *deployment) noted(task, what string) [][]string {
	lines, err := d.executorLog()
	if err != nil {
		return nil
	}
	var out [][]string
	for _, line := range lines {
		if strings.Contains(line, " "+what+" "+task) {
			out = append(out, strings.Fields(line))
		}
	}
	return out
}

// configure writes the operator's configuration.
func (d *deployment) configure(version int) {
	d.store.put("op", "config", map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r-3hwrr6x", "hostname": hostHeader, "pathPrefix": pathPrefix, "routeType": "non_idempotent", "timeoutMs": 3000,
			"targetLatencyMs": 1000, "priority": 2, "backend": serviceName, "maxAttempts": d.attempts, "stretch": 2.0,
		}},
		"services": []any{map[string]any{"name": serviceName, "healthPath": "/health", "maxConnections": 64, "protocol": "h1", "tls": false,
			"enforcesCapacity": true, "headroom": false}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
}

// awaitReady waits until all hosts say that they are ready.
func (d *deployment) awaitReady() error {
	until := time.Now().Add(20 * time.Second)
	for host := 0; host < hostCount; {
		if time.Now().After(until) {
			return fmt.Errorf("host %d didn't become ready", host+1)
		}
		response, err := http.Get("http://" + d.hostAddress(host, readyPort) + names["ready"])
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				host++
				continue
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	d.note("all hosts are ready")
	return nil
}

// call makes one call of a client, and returns status zero for no answer.
func (d *deployment) call(host int, method, id string, body any) (int, string) {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	ctx, cancel := context.WithTimeout(context.Background(), callDeadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+d.hostAddress(host, clientPort)+pathPrefix+id, bytes.NewReader(data))
	if err != nil {
		return 0, err.Error()
	}
	request.Host = hostHeader
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(names["deadline"], strconv.FormatInt(callDeadline.Milliseconds(), 10))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, strings.TrimSpace(string(answer))
}

// submit hands a job in, again after silence, and reports whether it was accepted.
func (d *deployment) submit(id string, spec work, steps ...map[string]any) (bool, error) {
	text, _ := json.Marshal(spec)
	for try := range 4 {
		host := try % hostCount
		status, answer := d.call(host, http.MethodPost, id, map[string]any{names["spec"]: string(text), "steps": steps})
		d.note("POST %s at host %d: %d %s", id, host+1, status, answer)
		switch status {
		case http.StatusOK:
			return true, nil
		case 0, http.StatusBadGateway, http.StatusGatewayTimeout:
			continue // the same id is sent again
		case http.StatusTooManyRequests, http.StatusServiceUnavailable:
			return false, nil
		default:
			return false, fmt.Errorf("job %s: status %d: %s", id, status, answer)
		}
	}
	return false, nil
}

// state asks for the state of a job, and returns what was answered and the shown state, if any.
func (d *deployment) state(id string) (int, string) {
	for host := range hostCount {
		status, answer := d.call(host, http.MethodGet, id, nil)
		if status != http.StatusOK && status != http.StatusGone {
			continue
		}
		var shown struct{ State string }
		_ = json.Unmarshal([]byte(answer), &shown)
		return status, shown.State
	}
	return 0, ""
}

// awaitState asks for the state of a job until it is one of those given, and returns it.
func (d *deployment) awaitState(id string, within time.Duration, wanted ...string) string {
	last := "?"
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(200 * time.Millisecond) {
		status, state := d.state(id)
		if now := fmt.Sprint(status, " ", state); now != last {
			d.note("GET %s: %s", id, now)
			last = now
		}
		for _, one := range wanted {
			if state == one {
				return state
			}
		}
	}
	return ""
}

// launch starts the configuration, the executors (one process each, or all in one) and the hosts.
func (d *deployment) launch(apart bool) ([]*process, error) {
	d.configure(7)
	var executors []*process
	var all []int
	for at := range executorCount {
		all = append(all, at)
		if !apart {
			continue
		}
		p, err := d.startExecutors(at)
		if err != nil {
			return nil, err
		}
		executors = append(executors, p)
	}
	if !apart {
		p, err := d.startExecutors(all...)
		if err != nil {
			return nil, err
		}
		executors = append(executors, p)
	}
	for host := range hostCount {
		if err := d.startHost(host); err != nil {
			return nil, err
		}
	}
	return executors, d.awaitReady()
}
