//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// hostEntry is an entry of discovery's list.
type hostEntry struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMs int64   `json:"born_ms"`
}

// hostList is a list, or a line of a watch.
type hostList struct {
	Seq   int         `json:"seq"`
	Whole bool        `json:"whole"`
	Hosts []hostEntry `json:"hosts"`
}

// pieces says how the bytes of a line are written: at most size bytes at a time, with a pause between two writes.
// A size of 0 writes a line at once.
type pieces struct {
	size  int
	pause time.Duration
}

// discovery is the discovery service. Each coordinator has an address of its own to reach it.
type discovery struct {
	w *world

	mu      sync.Mutex
	seq     int
	order   []string
	entries map[string]hostEntry
	seqOf   map[string]int       // version at which an entry last changed
	changed map[string]time.Time // when the drain or removal of a host was made known to discovery
	wake    chan struct{}        // closed at each change
	pieces  pieces
	told    map[string]map[string]time.Time
	knows   map[string]map[string]time.Time // when a coordinator was told of the last start of a host
	calls   int
}

func newDiscovery(w *world) *discovery {
	return &discovery{w: w, seq: 41, entries: map[string]hostEntry{}, seqOf: map[string]int{}, changed: map[string]time.Time{},
		wake: make(chan struct{}), told: map[string]map[string]time.Time{}, knows: map[string]map[string]time.Time{}}
}

// knowsStart returns when a coordinator was told of the last start of a host.
func (d *discovery) knowsStart(coordinator, host string) (time.Time, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	at, has := d.knows[coordinator][host]
	return at, has
}

// set changes entries of the list. An entry with the health Gone stays as a removed one.
func (d *discovery) set(entries ...hostEntry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seq++
	for _, e := range entries {
		if _, has := d.entries[e.Host]; !has {
			d.order = append(d.order, e.Host)
		}
		d.entries[e.Host] = e
		d.seqOf[e.Host] = d.seq
		if e.Health == "Ready" {
			for _, known := range d.knows {
				delete(known, e.Host)
			}
			delete(d.changed, e.Host)
			for _, told := range d.told {
				delete(told, e.Host)
			}
		} else if _, has := d.changed[e.Host]; !has {
			d.changed[e.Host] = time.Now()
		}
	}
	close(d.wake)
	d.wake = make(chan struct{})
}

func (d *discovery) setPieces(p pieces) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pieces = p
}

func (d *discovery) entry(host string) hostEntry {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.entries[host]
}

// whole returns the whole list.
func (d *discovery) whole() hostList {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.wholeLocked()
}

func (d *discovery) wholeLocked() hostList {
	list := hostList{Seq: d.seq, Whole: true, Hosts: []hostEntry{}}
	for _, id := range d.order {
		if e := d.entries[id]; e.Health != "Gone" {
			list.Hosts = append(list.Hosts, e)
		}
	}
	return list
}

// since returns what changed after a version, and a channel that is closed at the next change.
func (d *discovery) since(from int) (hostList, chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := hostList{Seq: d.seq, Hosts: []hostEntry{}}
	for _, id := range d.order {
		if d.seqOf[id] > from {
			list.Hosts = append(list.Hosts, d.entries[id])
		}
	}
	return list, d.wake
}

// toldAt returns when a coordinator counts as told that a host drains or is gone, and false if it is not.
func (d *discovery) toldAt(coordinator, host string) (time.Time, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	changed, has := d.changed[host]
	if !has {
		return time.Time{}, false
	}
	at := changed.Add(countsAsTold)
	if told, written := d.told[coordinator][host]; written && told.Before(at) {
		at = told
	}
	return at, true
}

func (d *discovery) recordTold(coordinator string, list hostList) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range list.Hosts {
		if e.Health == "Ready" {
			if d.knows[coordinator] == nil {
				d.knows[coordinator] = map[string]time.Time{}
			}
			if e.BornMs > 0 && d.entries[e.Host].BornMs == e.BornMs {
				if _, has := d.knows[coordinator][e.Host]; !has {
					d.knows[coordinator][e.Host] = time.Now()
				}
			}
			continue
		}
		if d.told[coordinator] == nil {
			d.told[coordinator] = map[string]time.Time{}
		}
		if _, has := d.told[coordinator][e.Host]; !has {
			d.told[coordinator][e.Host] = time.Now()
		}
	}
}

// serve serves a coordinator's address.
func (d *discovery) serve(coordinator string, listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		d.w.own(conn)
		go d.answer(coordinator, conn)
	}
}

func (d *discovery) answer(coordinator string, conn net.Conn) {
	defer func() { _ = conn.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	d.mu.Lock()
	d.calls++
	call := d.calls
	d.mu.Unlock()
	d.w.note("discovery call=%d coordinator=%s request=%s", call, coordinator, request.URL.RequestURI())
	switch {
	case request.URL.Path != "/discovery/hosts":
		_, _ = fmt.Fprint(conn, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
	case request.URL.Query().Get("watch") == "":
		list := d.whole()
		text, _ := json.Marshal(list)
		_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", len(text), text)
		if err == nil {
			d.recordTold(coordinator, list)
		}
	default:
		from, _ := strconv.Atoi(request.URL.Query().Get("from"))
		d.watch(coordinator, conn, call, from)
	}
}

// watch writes a watch until its connection ends.
func (d *discovery) watch(coordinator string, conn net.Conn, call, from int) {
	ended := make(chan struct{})
	go func() { // the client sends nothing more: the read ends with the connection
		_, _ = conn.Read(make([]byte, 1))
		close(ended)
	}()
	defer func() { d.w.note("discovery call=%d watch ended", call) }()
	if _, err := fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"); err != nil {
		return
	}
	for {
		list, wake := d.since(from)
		line := []byte("\n")
		if len(list.Hosts) > 0 {
			text, _ := json.Marshal(list)
			line = append(text, '\n')
		} else {
			select {
			case <-wake:
				continue
			case <-ended:
				return
			case <-time.After(2 * time.Second):
			}
		}
		began := time.Now()
		if !d.writeLine(conn, line, ended) {
			if len(list.Hosts) > 0 {
				d.w.note("discovery call=%d line seq=%d not complete: the connection ended %d ms after the line began", call, list.Seq, time.Since(began).Milliseconds())
			}
			return
		}
		if len(list.Hosts) > 0 {
			d.recordTold(coordinator, list)
			d.w.note("discovery call=%d line seq=%d hosts=%d written in %d ms", call, list.Seq, len(list.Hosts), time.Since(began).Milliseconds())
			from = list.Seq
		}
	}
}

// writeLine writes a line as one chunk, in pieces if they are set. It returns false if the connection ended.
func (d *discovery) writeLine(conn net.Conn, line []byte, ended chan struct{}) bool {
	text := append([]byte(fmt.Sprintf("%x\r\n", len(line))), line...)
	text = append(text, '\r', '\n')
	d.mu.Lock()
	p := d.pieces
	d.mu.Unlock()
	if len(line) == 1 || p.size <= 0 { // at once
		_, err := conn.Write(text)
		return err == nil
	}
	for len(text) > 0 {
		n := min(p.size, len(text))
		if _, err := conn.Write(text[:n]); err != nil {
			return false
		}
		text = text[n:]
		if len(text) == 0 {
			break
		}
		select {
		case <-ended:
			return false
		case <-time.After(p.pause):
		}
	}
	return true
}
