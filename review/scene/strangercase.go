//go:build review

package main

import (
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// The connections and descriptors of the coordinator in silentStrangers, and the strangers' connections.
const (
	descriptors    = 1024
	maxConnections = 900 // limits.connections
	heldStrangers  = 880
	burstStrangers = 300
	maxBursts      = 60
)

// silentStrangers: strangers open connections by the hundreds, send nothing, and leave.
func silentStrangers(s *scene) bool {
	var own syscall.Rlimit
	need(syscall.Getrlimit(syscall.RLIMIT_NOFILE, &own) == nil && own.Cur >= 2*descriptors, "the strangers need %d descriptors of their own", 2*descriptors)
	d := newDeployment(s)
	d.limits = map[string]any{"connections": maxConnections, "per_address": maxConnections}
	d.descriptors = descriptors
	d.configure(map[string]any{"file": map[string]any{"path": d.fileList(d.backends...), "poll": "500ms"}})
	d.startServe()
	d.startGateways(20)
	need(d.waitTables("", 20*time.Second), "the gateways have no tables")
	time.Sleep(3 * time.Second)
	d.note("descriptors in use: %d of %d", d.openDescriptors(), descriptors)
	if s.trouble {
		d.strangers()
	} else {
		time.Sleep(10 * time.Second)
	}
	time.Sleep(5 * time.Second)
	d.note("descriptors in use 5 s after the strangers have left: %d of %d", d.openDescriptors(), descriptors)
	accepted, answered := 0, 0
	for range 10 {
		if d.run("bin/porthub tables --addr "+d.addr) == 0 {
			answered++
		}
		if waitListening(d.addr, 100*time.Millisecond) {
			accepted++
		}
		time.Sleep(time.Second)
	}
	d.note("in the 10 s after that: %d of 10 connections accepted, %d of 10 commands of an operator answered; the process runs: %v", accepted, answered, !d.serve.ended(0))
	return answered > 0
}

// strangers opens silent connections: most are held, the rest come in bursts, are held for a moment, and close.
func (d *deployment) strangers() {
	var held []net.Conn
	for range heldStrangers {
		if c, err := net.DialTimeout("tcp", d.addr, time.Second); err == nil {
			held = append(held, c)
		}
	}
	d.note("strangers: %d silent connections are open", len(held))
	for burst := range maxBursts {
		opened := make([]net.Conn, burstStrangers)
		var dials sync.WaitGroup
		for i := range opened {
			dials.Go(func() { opened[i], _ = net.DialTimeout("tcp", d.addr, time.Second) })
		}
		dials.Wait()
		n := 0
		for _, c := range opened {
			if c != nil {
				n++
			}
		}
		d.note("strangers: burst %d of %d more connections: %d opened", burst+1, burstStrangers, n)
		time.Sleep(200 * time.Millisecond)
		for _, c := range opened {
			if c != nil {
				_ = c.Close()
			}
		}
		if n == 0 {
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	for _, c := range held {
		_ = c.Close()
	}
	d.note("strangers: all connections are closed")
}

// openDescriptors returns the number of descriptors of the coordinator.
func (d *deployment) openDescriptors() int {
	names, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", d.serve.cmd.Process.Pid))
	return len(names)
}
