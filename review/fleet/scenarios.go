//go:build review

package main

import (
	"fmt"
	"strings"
	"syscall"
	"time"
)

var scenarios = map[string]func(*fleet, bool) error{"shrink": playShrink, "rollback": playRollback}

// playShrink shrinks the fleet to half of its size within 10 s, while traffic falls to a half: each node cancels its registration, goes
// on with what it has for 5.5 s and ends. Without the disruption two nodes do so.
func playShrink(f *fleet, trouble bool) error {
	f.sleepUntil(25)
	leaving := 9
	if !trouble {
		leaving = 2
	}
	for i := range leaving {
		n := f.nodes[i*2]
		f.registry.remove(n)
		time.AfterFunc(5500*time.Millisecond, func() {
			n.stop()
			f.note("%s ends", n.id)
		})
		f.fall(0.5 / 9)
		time.Sleep(1200 * time.Millisecond)
	}
	time.Sleep(15 * time.Second)
	return nil
}

const rollbackReason = "weights of the last minute are wrong"

// playRollback rolls all tables back by the operator's command, and kills the daemon once the command has succeeded. After a restart
// the rollback and an earlier drain must be in force. Without the disruption the daemon goes on.
func playRollback(f *fleet, trouble bool) error {
	f.sleepUntil(15)
	drained := f.nodes[0]
	if _, err := f.porthub("drain", drained.addr, "--reason", "maintenance", "--addr", f.listen); err != nil {
		return err
	}
	f.sleepUntil(25)
	if _, err := f.porthub("tables", "rollback", "--fleet", "--ago", "5s", "--reason", rollbackReason, "--addr", f.listen); err != nil {
		return err
	}
	if trouble {
		f.stop(syscall.SIGKILL)
		time.Sleep(time.Second)
		if err := f.start(); err != nil {
			return err
		}
	}
	time.Sleep(10 * time.Second)
	list, err := f.porthub("tables", "list", "--addr", f.listen)
	if err != nil {
		return err
	}
	if !strings.Contains(list, rollbackReason) {
		f.breaks("the operator's rollback, which the coordinator had accepted, is no longer in force")
	}
	nodes, err := f.porthub("nodes", "--output", "json", "--addr", f.listen)
	if err != nil {
		return err
	}
	if !strings.Contains(nodes, "maintenance") {
		return fmt.Errorf("the drain of %s is lost", drained.addr)
	}
	return nil
}
