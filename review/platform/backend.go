//go:build review

package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"
)

// backend is a server: it answers probes and does the work that proxies send.
type backend struct {
	id    string
	zone  string
	addr  string
	slots chan struct{} // one element for each request that runs

	mu        sync.Mutex
	server    *http.Server
	startedAt time.Time // zero: long ago
	running   int
	arrivals  float64 // of the present second
	util      float64
	second    int64
}

const (
	workTime   = 160 * time.Millisecond // of a request at a warm backend
	cores      = 2
	capacity   = 12.5 // requests a second of a warm backend
	room       = 44   // requests that may run or wait; more are turned away
	coldFrom   = 0.16
	overload   = 2.5
	fallWindow = 2*time.Second + slack
)

func newBackend(id, zone string) (*backend, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &backend{id: id, zone: zone, addr: listener.Addr().String(), slots: make(chan struct{}, cores)}
	b.serve(listener)
	return b, nil
}

// serve starts the process.
func (b *backend) serve(listener net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("/alive", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("/metrics/load", func(w http.ResponseWriter, _ *http.Request) {
		util, queue := b.load()
		_ = json.NewEncoder(w).Encode(map[string]float64{"util": util, "queue": queue})
	})
	mux.HandleFunc("/work", func(w http.ResponseWriter, _ *http.Request) {
		if !b.enter() {
			w.WriteHeader(http.StatusServiceUnavailable) // turned away unseen
			return
		}
		b.slots <- struct{}{}
		time.Sleep(time.Duration(float64(workTime) / b.warmth()))
		<-b.slots
		b.leave()
		w.WriteHeader(http.StatusOK)
	})
	server := &http.Server{Handler: mux}
	b.mu.Lock()
	b.server = server
	b.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
}

// restart starts the process again, at its address.
func (b *backend) restart() error {
	listener, err := net.Listen("tcp", b.addr)
	if err == nil {
		b.mu.Lock()
		b.startedAt = time.Now()
		b.running = 0
		b.mu.Unlock()
		b.serve(listener)
	}
	return err
}

// enter takes a request in, unless the backend is full.
func (b *backend) enter() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.turn()
	if b.running >= room {
		return false
	}
	b.running++
	b.arrivals++
	return true
}

// turn closes the present second of the load report if it is over.
func (b *backend) turn() {
	now := time.Now().Unix()
	if now != b.second {
		b.util = min(1, b.arrivals/capacity)
		if now > b.second+1 {
			b.util = 0
		}
		b.arrivals = 0
		b.second = now
	}
}

// warmth returns the part of its capacity that the backend has: it grows evenly from its start on.
func (b *backend) warmth() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.startedAt.IsZero() {
		return 1
	}
	return min(1, coldFrom+(1-coldFrom)*time.Since(b.startedAt).Seconds()/coldFor.Seconds())
}

func (b *backend) leave() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running = max(0, b.running-1)
}

func (b *backend) load() (util, queue float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.turn()
	return b.util, float64(max(0, b.running-cores))
}

// stop ends the process: connections are reset, new ones are refused.
func (b *backend) stop() {
	b.mu.Lock()
	server := b.server
	b.mu.Unlock()
	_ = server.Close()
}
