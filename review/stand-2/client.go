package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Route of the only queue.
const (
	hostName   = "kilns.example"
	pathPrefix = "/plans/"
	service    = "kilns"
)

// step is a group of equal tasks.
type step struct {
	Count    int    `json:"count"`
	CPU      int64  `json:"cpu"`
	Memory   int64  `json:"memMb"`
	Estimate int64  `json:"estimatedMs,omitempty"`
	Requires string `json:"requirements,omitempty"`
	Lasts    bool   `json:"longRunning,omitempty"`
	Apart    int    `json:"antiAffinity,omitempty"`
}

type job struct {
	Spec  string `json:"spec"`
	Steps []step `json:"steps"`
}

// client calls hosts as the pages say, over connections that stay open.
type client struct {
	http   http.Client
	record *record
	// patience is how long the client waits for an answer, as it tells the host.
	patience time.Duration
}

func newClient(r *record) *client {
	return &client{http: http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}, record: r, patience: 3 * time.Second}
}

// call makes one call and returns its status, zero if there was no answer.
func (c *client) call(h *host, method, id string, body any) (int, string) {
	var data []byte
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			panic(err)
		}
		data = toWire(encoded)
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.patience)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+h.front+pathPrefix+id, bytes.NewReader(data))
	if err != nil {
		panic(err)
	}
	request.Host = hostName
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(wire.Deadline, strconv.FormatInt(c.patience.Milliseconds(), 10))
	status, text := 0, ""
	answer, err := c.http.Do(request)
	if err == nil {
		read, readErr := io.ReadAll(answer.Body)
		_ = answer.Body.Close()
		if readErr == nil {
			status, text = answer.StatusCode, strings.TrimSpace(string(read))
		}
		err = readErr
	}
	if err != nil {
		text = err.Error()
	}
	c.record.line("client %s %s at %s: %d %s", method, id, h.name, status, text)
	return status, text
}

// submit sends a job to the hosts in turn until one accepts it.
func (c *client) submit(hosts []*host, id string, j job, within time.Duration) error {
	until := time.Now().Add(within)
	for at := 0; time.Now().Before(until); at++ {
		status, _ := c.call(hosts[at%len(hosts)], http.MethodPost, id, j)
		if status >= 200 && status < 300 {
			return nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return fmt.Errorf("job %s wasn't accepted within %s", id, within)
}

// state returns what a host says of a job, empty if it doesn't say.
func (c *client) state(h *host, id string) string {
	status, text := c.call(h, http.MethodGet, id, nil)
	if status != http.StatusOK {
		return ""
	}
	var shown struct {
		State string `json:"state"`
	}
	if json.Unmarshal([]byte(text), &shown) != nil {
		return ""
	}
	return shown.State
}
