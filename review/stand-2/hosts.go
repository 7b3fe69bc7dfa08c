package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// host is a process of the project's own program, run with the command of the deploy file.
type host struct {
	name   string
	zone   string
	front  string
	ready  string
	boot   string
	folder string
	argv   []string
	record *record

	process *exec.Cmd
	ended   chan struct{}
}

var (
	gap     = regexp.MustCompile(`\{\{([A-Za-z0-9_.]+)\}\}`)
	runLine = regexp.MustCompile(`(?m)^run = "(.*)"$`)
)

// settle fills the template of the deploy file with values, by the ends of their names.
func settle(template string, values map[string]string) (string, error) {
	missing := ""
	out := gap.ReplaceAllStringFunc(template, func(found string) string {
		name := gap.FindStringSubmatch(found)[1]
		for end, value := range values {
			if name == end || strings.HasSuffix(name, "."+end) {
				return value
			}
		}
		missing = name
		return ""
	})
	if missing != "" {
		return "", fmt.Errorf("the template asks for %s", missing)
	}
	return out, nil
}

// freeAddress returns an address of a port that is free now.
func freeAddress(ip string) (string, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}

const (
	// metricsPort is the port that the template of the settings names.
	metricsPort = "9102"
	// firstHost is the last part of the first host's address.
	firstHost = 11
)

// freeNetwork returns the first three parts of loopback addresses on which the metrics' port is free.
func freeNetwork() (string, error) {
	for try := range 50 {
		network := fmt.Sprintf("127.%d.%d", 10+(os.Getpid()+try)%200, 1+(os.Getpid()/200+try)%250)
		free := true
		for at := range zones {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%s", network, firstHost+at, metricsPort))
			if err != nil {
				free = false
				continue
			}
			_ = listener.Close()
		}
		if free {
			return network, nil
		}
	}
	return "", fmt.Errorf("no addresses are free")
}

// newHost writes the settings of a host with an IP of its own, without starting it.
func newHost(name, zone, ip, store, folder string, rec *record) (*host, error) {
	deploy, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	template, err := os.ReadFile("deploy/host.yaml.tmpl")
	if err != nil {
		return nil, err
	}
	run := runLine.FindSubmatch(deploy)
	if run == nil {
		return nil, fmt.Errorf("the deploy file names no program")
	}
	h := &host{name: name, zone: zone, folder: folder, argv: strings.Fields(string(run[1])), record: rec}
	var peers string
	for _, at := range []*string{&h.front, &h.ready, &peers} {
		if *at, err = freeAddress(ip); err != nil {
			return nil, err
		}
	}
	_, port, err := net.SplitHostPort(peers)
	if err != nil {
		return nil, err
	}
	text, err := settle(string(template), map[string]string{
		"nodeName": name, "zone": zone, "ip": ip, "front": h.front, "readiness": h.ready, "internalPorts.0": port,
		"cpuShare": "0.4", "linkMbps": "1000.0", "address": store, "holdMaxMs": "10000", "stopTimeoutMs": "900",
		"status_s": "120", "graceS": "6",
	})
	if err != nil {
		return nil, err
	}
	h.boot = filepath.Join(folder, name+".yaml")
	return h, os.WriteFile(h.boot, []byte(text), 0o600)
}

// start starts the process. Its output goes to a file of the temporary folder.
func (h *host) start() error {
	output, err := os.OpenFile(filepath.Join(h.folder, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	process := exec.Command(h.argv[0], h.argv[1:]...)
	process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), wire.Settings + "=" + h.boot}
	process.Stdout, process.Stderr = output, output
	if err := process.Start(); err != nil {
		return err
	}
	h.process, h.ended = process, make(chan struct{})
	h.record.line("host   %s starts", h.name)
	go func(ended chan struct{}) {
		err := process.Wait()
		h.record.line("host   %s has ended: %v", h.name, err)
		_ = output.Close()
		close(ended)
	}(h.ended)
	return nil
}

// signal sends a signal to the process.
func (h *host) signal(s syscall.Signal) {
	h.record.line("host   %s gets %s", h.name, s)
	_ = h.process.Process.Signal(s)
}

// end kills the process and waits until it has ended.
func (h *host) end() {
	if h.process == nil {
		return
	}
	_ = h.process.Process.Kill()
	<-h.ended
}

// awaitReady waits until the host says that it takes calls.
func (h *host) awaitReady(within time.Duration) error {
	client := http.Client{Timeout: time.Second}
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		answer, err := client.Get("http://" + h.ready + wire.Ready)
		if err != nil {
			continue
		}
		_ = answer.Body.Close()
		if answer.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("host %s isn't ready after %s", h.name, within)
}
