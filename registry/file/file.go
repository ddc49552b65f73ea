// Package file reads the node list from a file in Prometheus's file_sd format: a JSON list of groups, each with its
// targets (address:port) and the labels that hold for all of them.
//
//	[{"targets": ["127.0.0.1:9001"], "labels": {"zone": "hala-a", "weight": "2", "machine": "std-2c", "pod": "3",
//	  "status": "ready", "launched": "2026-11-30T08:00:00Z"}}]
//
// zone is needed. weight (1), machine, pod (0), status (ready; or draining) and launched (unknown) may be left out;
// launched is a time of RFC 3339 or microseconds since 1970. Other labels are passed over.
package file

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/fsnotify/fsnotify"

	"porthub/policyapi"
)

type group struct {
	Targets []string          `json:"targets"`
	Labels  map[string]string `json:"labels"`
}

// mostBytes bounds what is read; a list of ten thousand nodes takes about two million.
const mostBytes = 64 << 20

// ErrList is a list that can't be taken; what was known before stays.
var ErrList = errors.New("node list")

// Parse reads a list. It is taken whole or not at all; the error names the group and target.
func Parse(text []byte) ([]policyapi.Endpoint, error) {
	if len(bytes.TrimSpace(text)) == 0 {
		return nil, fmt.Errorf("%w: the file is empty: a list without nodes is []", ErrList)
	}
	var groups []group
	dec := json.NewDecoder(bytes.NewReader(text))
	if err := dec.Decode(&groups); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrList, err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return nil, fmt.Errorf("%w: something follows the list", ErrList)
	}
	var entries []policyapi.Endpoint
	for i, g := range groups {
		for _, target := range g.Targets {
			e, err := entry(target, g.Labels)
			if err != nil {
				return nil, fmt.Errorf("%w: group %d, target %q: %v", ErrList, i, target, err)
			}
			entries = append(entries, e)
		}
	}
	return entries, nil
}

func entry(target string, labels map[string]string) (policyapi.Endpoint, error) {
	e := policyapi.Endpoint{ID: policyapi.EndpointID(target), Zone: policyapi.Zone(labels["zone"]), Weight: 1,
		MachineType: policyapi.MachineType(labels["machine"])}
	host, port, err := net.SplitHostPort(target)
	if n, perr := strconv.ParseUint(port, 10, 16); err != nil || perr != nil || n == 0 || host == "" {
		return e, errors.New("no address:port")
	}
	if e.Zone == "" {
		return e, errors.New("label zone is missing")
	}
	if text, has := labels["weight"]; has {
		if e.Weight, err = strconv.ParseFloat(text, 64); err != nil || !(e.Weight > 0) || math.IsInf(e.Weight, 0) {
			return e, fmt.Errorf("label weight is %q: it must be a number above 0", text)
		}
	}
	if text, has := labels["pod"]; has {
		pod, err := strconv.Atoi(text)
		if err != nil {
			return e, fmt.Errorf("label pod is %q: it must be a whole number", text)
		}
		e.Pod = policyapi.PodID(pod)
	}
	switch labels["status"] {
	case "", "ready":
	case "draining":
		e.Status = policyapi.Draining
	default:
		return e, fmt.Errorf("label status is %q: it must be ready or draining", labels["status"])
	}
	if text, has := labels["launched"]; has {
		if us, err := strconv.ParseInt(text, 10, 64); err == nil && us >= 0 {
			e.StartedAt = policyapi.Microseconds(us)
		} else if t, err := time.Parse(time.RFC3339Nano, text); err == nil {
			e.StartedAt = policyapi.Microseconds(t.UnixMicro())
		} else {
			return e, fmt.Errorf("label launched is %q: it must be a time of RFC 3339 or microseconds since 1970", text)
		}
	}
	return e, nil
}

// Load reads a list from a file.
func Load(path string) ([]policyapi.Endpoint, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrList, err)
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, mostBytes+1))
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrList, err)
	}
	if len(text) > mostBytes {
		return nil, fmt.Errorf("%w: %s is larger than %d bytes", ErrList, path, mostBytes)
	}
	return Parse(text)
}

// Source follows a file. Told is given each answer: the whole list where it has changed, or an error.
type Source struct {
	path string
	poll time.Duration
	told func([]policyapi.Endpoint, error)
	asks chan bool // true: watch and answer at once, false: watch no more
	once chan struct{}
}

// New follows the file once it is asked to.
func New(path string, poll time.Duration, told func([]policyapi.Endpoint, error)) *Source {
	return &Source{path: path, poll: max(poll, 10*time.Millisecond), told: told, asks: make(chan bool, 16), once: make(chan struct{}, 16)}
}

// Watch asks for the list now and for its changes from now on, or for no more of them. It never blocks: with many
// asks waiting one more changes nothing.
func (s *Source) Watch(on bool) {
	select {
	case s.asks <- on:
	default:
	}
}

// Fetch asks for the list once.
func (s *Source) Fetch() {
	select {
	case s.once <- struct{}{}:
	default:
	}
}

// Run serves asks until the context ends. The folder is watched, since a file that is replaced by a rename is a new
// one; where it can't be watched, looking every poll does.
func (s *Source) Run(ctx context.Context) {
	var signals chan fsnotify.Event
	if w, err := fsnotify.NewWatcher(); err == nil {
		defer w.Close()
		if w.Add(filepath.Dir(s.path)) == nil {
			signals = w.Events
		}
	}
	tick := time.NewTicker(s.poll)
	defer tick.Stop()
	watching := false
	var seen []byte
	failing := false
	look := func(always bool) {
		text, err := os.ReadFile(s.path)
		if err == nil && !always && !failing && bytes.Equal(text, seen) {
			return
		}
		var entries []policyapi.Endpoint
		if err == nil {
			if len(text) > mostBytes {
				err = fmt.Errorf("%s is larger than %d bytes", s.path, mostBytes)
			} else {
				entries, err = Parse(text)
			}
		}
		if err != nil {
			// A file that is being written by hand is whole a moment later: only what stays bad is told.
			if !failing || always {
				s.told(nil, fmt.Errorf("%s: %w", s.path, err))
			}
			failing = true
			return
		}
		seen, failing = text, false
		s.told(entries, nil)
	}
	for {
		select {
		case <-ctx.Done():
			return
		case on := <-s.asks:
			if watching = on; on {
				look(true)
			}
		case <-s.once:
			look(true)
		case e := <-signals:
			if watching && filepath.Base(e.Name) == filepath.Base(s.path) {
				look(false)
			}
		case <-tick.C:
			if watching {
				look(false)
			}
		}
	}
}
