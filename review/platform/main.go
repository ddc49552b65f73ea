//go:build review

package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"sort"
	"strings"
	"syscall"
	"time"
)

func main() {
	scenario := flag.String("scenario", "", "name of the scenario")
	record := flag.String("record", "record.txt", "file to write the record to")
	root := flag.String("root", ".", "root of the repository")
	keep := flag.String("dir", "", "folder for configurations and logs; empty: a temporary one")
	flag.Parse()
	os.Exit(run(*scenario, *record, *root, *keep, os.Getenv("TROUBLE") != "0"))
}

// run plays a scenario and returns the exit code: 0 if the rules held, 1 if one was broken, 2 if the scenario could not run.
func run(name, record, root, dir string, trouble bool) int {
	play, has := scenarios[name]
	if !has {
		fmt.Fprintf(os.Stderr, "no scenario %q\n", name)
		return 2
	}
	w, err := newWorld(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if dir == "" {
		if dir, err = os.MkdirTemp("", "platform"); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 2
		}
		defer func() { _ = os.RemoveAll(dir) }()
	}
	line, err := runLine(root)
	if err == nil {
		err = os.Chdir(root)
	}
	var p *platform
	if err == nil {
		p, err = newPlatform(w, play.layout, dir, line)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	w.note("scenario %s trouble=%v coordinators=%d backends=%d proxies=%d", name, trouble, play.layout.coordinators, play.layout.backends, play.layout.proxies)
	ctx, cancel := context.WithCancel(context.Background())
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		cancel()
		p.stop()
		os.Exit(2)
	}()
	err = p.start(ctx)
	if err == nil {
		err = play.run(p, trouble)
	}
	cancel()
	p.stop()
	if err != nil {
		w.note("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	p.summarize()
	if len(w.broken) > 0 {
		var rules []string
		for rule, n := range w.rules {
			rules = append(rules, fmt.Sprintf("%s %d times", rule, n))
		}
		sort.Strings(rules)
		w.note("RESULT broken: %s", strings.Join(rules, ", "))
		fmt.Printf("broken: %s\n", strings.Join(rules, ", "))
		return 1
	}
	w.note("RESULT held")
	fmt.Println("held")
	return 0
}

func (p *platform) summarize() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, host := range p.order {
		p.w.note("sent to %s: %d, answered: %d, sent too late: %d", host, p.sends[host], p.answered[host], p.late[host])
	}
	p.w.note("most that a cold backend was knowingly sent: %.2f of its budget", p.peak)
	for _, c := range p.coordinators {
		p.w.note("channel of %s: at most %.0f lines waited", c.name, c.channel.most)
	}
}

// sleepUntil sleeps until a time of the world.
func (p *platform) sleepUntil(seconds float64) {
	time.Sleep(time.Until(p.w.began.Add(time.Duration(seconds * float64(time.Second)))))
}
