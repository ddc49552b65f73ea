//go:build review

// Command scene plays one case of the second review: porthub's programs as processes of their own, with stand-ins for servers,
// gateways, registries and the platform on loopback addresses.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// longestRun is the time after which a run ends in any case.
const longestRun = 115 * time.Second

// endLate ends the run and its processes when it is signalled or takes too long.
func (s *scene) endLate() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		select {
		case <-signals:
		case <-time.After(longestRun):
		}
		s.note("the case could not run: it was ended, or took more than %s", longestRun)
		s.endAll()
		_ = os.RemoveAll(s.dir)
		os.Exit(2)
	}()
}

// cases are the cases by name. Each returns whether the rule held.
var cases = map[string]func(*scene) bool{
	"lost-acks":           lostAcks,
	"drain-registry-down": drainRegistryDown,
	"second-source":       secondSource,
	"pin-class-change":    pinClassChange,
	"pin-growth":          pinGrowth,
	"pin-kill":            pinKill,
	"silent-strangers":    silentStrangers,
	"silent-collectors":   silentCollectors,
}

func main() { os.Exit(play()) }

// play plays the case that the first argument names and writes its record into the folder that the second one names. It returns 0
// if the rule held, 1 if it was broken, and 2 if the case could not run.
func play() (code int) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: scene CASE FOLDER")
		return 2
	}
	root, err := os.Getwd()
	if err != nil {
		return 2
	}
	record, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = record.Close() }()
	dir, err := os.MkdirTemp("", "scene")
	if err != nil {
		return 2
	}
	s := &scene{root: root, dir: dir, trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), record: record}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		s.note("kept: %s", dir)
	}
	defer s.endAll()
	s.endLate()
	defer func() {
		if p := recover(); p != nil {
			if c, is := p.(cannot); is {
				s.note("the case could not run: %s", c.reason)
			} else {
				s.note("the case could not run: %v", p)
			}
			code = 2
		}
	}()
	if cases[os.Args[1]](s) {
		s.note("the rule held")
		return 0
	}
	s.note("THE RULE WAS BROKEN")
	return 1
}
