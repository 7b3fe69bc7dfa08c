package main

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"time"
)

func init() { cases["lasting"] = playLasting }

// maxDown is how long a lasting task may be down where room is free: 3 s from 6 s after its last run.
const maxDown = 9 * time.Second

// playLasting loses the executor of two lasting tasks for good, without a word, and kills the host that gives the orders
// a second later. The host is started again at once.
func playLasting(d *deployment) error {
	const (
		id       = "5c0e7a21d94b36f8"
		killedIn = time.Second
		backIn   = 500 * time.Millisecond
		watching = 24 * time.Second
	)
	executors, err := d.launch(true)
	if err != nil {
		return err
	}
	time.Sleep(10 * time.Second) // traffic starts ten seconds after the machines
	accepted, err := d.submit(id, work{Lasts: true}, map[string]any{"count": 6, "cpu": 6400, "memMb": 13000, "estimatedMs": 320, "longRunning": true, "antiAffinity": 2})
	if err != nil || !accepted {
		return fmt.Errorf("the job was not accepted: %w", err)
	}
	time.Sleep(10 * time.Second)
	at, tasks, err := d.firstExecutorOf(id)
	if err != nil {
		return err
	}
	lost := time.Now()
	if d.trouble {
		// A stopped process says nothing and answers nothing, like a machine without power. It never goes on.
		if err := executors[at].cmd.Process.Signal(syscall.SIGSTOP); err != nil {
			return err
		}
		d.note("executor %d is lost for good, and with it %v", at+1, tasks)
		time.Sleep(killedIn)
		owner := d.owner()
		d.hosts[owner].kill()
		d.note("host %d, which gives the orders, is killed", owner+1)
		time.Sleep(backIn)
		if err := d.startHost(owner); err != nil {
			return err
		}
	}
	time.Sleep(watching - time.Since(lost))
	for _, task := range tasks {
		begun := d.noted(task, "begins")
		if !d.trouble {
			if len(begun) != 1 {
				d.breaks("LOST: %s was interrupted", task)
			}
			continue
		}
		down := watching
		if len(begun) > 1 {
			again, _ := strconv.ParseInt(begun[1][0], 10, 64)
			down = time.UnixMilli(again).Sub(lost)
		}
		d.note("%s was down for %s", task, down.Round(time.Millisecond))
		if down > maxDown {
			d.breaks("LOST: the lasting task %s of accepted job %s didn't run for %s, with 11 of 12 executors all but empty", task, id, down.Round(time.Millisecond))
		}
	}
	return nil
}

// firstExecutorOf returns an executor that runs tasks of a job, and these tasks.
func (d *deployment) firstExecutorOf(id string) (int, []string, error) {
	begun := d.noted(id, "begins")
	if len(begun) == 0 {
		return 0, nil, fmt.Errorf("job %s didn't begin", id)
	}
	at := 0
	if _, err := fmt.Sscanf(strings.TrimPrefix(begun[0][1], "i-"), "%d", &at); err != nil {
		return 0, nil, err
	}
	var tasks []string
	for _, one := range begun {
		if one[1] == begun[0][1] {
			tasks = append(tasks, one[3])
		}
	}
	return at, tasks, nil
}

var loaded = regexp.MustCompile(`"workflows loaded".*"Epoch":(\d+)`)

// owner returns the host that last took over the work, by the hosts' logs.
func (d *deployment) owner() int {
	newest, at := -1, 0
	for host := range hostCount {
		data, err := os.ReadFile(filepath.Join(d.folder, hostName(host)+".log"))
		if err != nil {
			continue
		}
		for _, found := range loaded.FindAllStringSubmatch(string(data), -1) {
			if epoch, err := strconv.Atoi(found[1]); err == nil && epoch > newest {
				newest, at = epoch, host
			}
		}
	}
	return at
}
