package chaos

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"porthub/audit"
	"porthub/routing"
)

// breakRule spoils one thing on the way to the gateways, so that the audit must find that rule violated: an audit that
// can't fail would show nothing. An empty rule spoils nothing.
func (f *fleet) breakRule(rule string) {
	switch rule {
	case audit.EmptyTable:
		f.gateways[0].Corrupt = f.emptyFirstClass
	case audit.DuplicateEffect:
		for _, g := range f.gateways {
			g.AlwaysRetry = true
		}
	case audit.Drain:
		f.gateways[0].Corrupt = keepAllEndpoints()
	case audit.WarmUp:
		for _, g := range f.gateways {
			g.Corrupt = f.preferRestarted
		}
	case audit.Queue:
		go f.rewriteTables() // ends with the scenario
	}
}

// emptyFirstClass removes all endpoints of a class after a while.
func (f *fleet) emptyFirstClass(s *routing.Snapshot) {
	if f.world.Now() > f.scenario.length()/3/2 {
		emptyFirstCluster(s)
	}
}

func emptyFirstCluster(s *routing.Snapshot) {
	s.Clusters = slices.Clone(s.Clusters)
	s.Clusters[0].Endpoints = nil
}

// keepAllEndpoints keeps every endpoint that was ever in a table.
func keepAllEndpoints() func(*routing.Snapshot) {
	seen := map[string]map[string]routing.ClusterEndpoint{} // by class and endpoint
	return func(s *routing.Snapshot) {
		s.Clusters = slices.Clone(s.Clusters)
		for i, cluster := range s.Clusters {
			if seen[cluster.Class] == nil {
				seen[cluster.Class] = map[string]routing.ClusterEndpoint{}
			}
			for _, endpoint := range cluster.Endpoints {
				endpoint.Withheld = false
				seen[cluster.Class][string(endpoint.Endpoint)] = endpoint
			}
			all := routing.Cluster{Class: cluster.Class, Endpoints: slices.Collect(maps.Values(seen[cluster.Class]))}
			all.Sort()
			s.Clusters[i] = all
		}
	}
}

// preferRestarted sends nearly everything to endpoints that have been restarted.
func (f *fleet) preferRestarted(s *routing.Snapshot) {
	const overwhelming = 1000
	restarted := map[string]bool{}
	for _, e := range f.endpoints {
		running, startedAt := e.Running()
		restarted[e.Addr] = running && startedAt >= 0
	}
	s.Clusters = slices.Clone(s.Clusters)
	for i := range s.Clusters {
		endpoints := slices.Clone(s.Clusters[i].Endpoints)
		for j := range endpoints {
			if restarted[string(endpoints[j].Endpoint)] {
				endpoints[j].Weight = overwhelming
			}
		}
		s.Clusters[i].Endpoints = endpoints
	}
}

// rewriteTables rewrites a gateway's file over and over, each time as a new message.
func (f *fleet) rewriteTables() {
	const (
		firstNumber = 100_000 // beyond the coordinator's own
		interval    = 200 * time.Millisecond
	)
	path := filepath.Join(tableDir(f.dir), f.gateways[0].Name, "eds.json")
	for number := firstNumber; f.world.Now() < f.scenario.length(); number++ {
		if f.world.Now() > f.scenario.length()/3 {
			_ = renumberFile(path, number) // a file that is not there yet comes later
		}
		time.Sleep(interval)
	}
}

// renumberFile replaces the number in the version of a document, and the file at once.
func renumberFile(path string, number int) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	start, end := versionSpan(string(text))
	epoch, _, _ := strings.Cut(string(text[start:end]), ".")
	renumbered := string(text[:start]) + fmt.Sprintf("%s.%d", epoch, number) + string(text[end:])
	if err := os.WriteFile(path+".spoilt", []byte(renumbered), 0o644); err != nil {
		return err
	}
	return os.Rename(path+".spoilt", path)
}

// versionSpan finds the version in a document, with or without a space before it; 0, 0 if there is none.
func versionSpan(text string) (start, end int) {
	for _, key := range []string{`"version_info":"`, `"version_info": "`} {
		at := strings.Index(text, key)
		if at < 0 {
			continue
		}
		start = at + len(key)
		length := strings.Index(text[start:], `"`)
		if length < 0 {
			return 0, 0
		}
		return start, start + length
	}
	return 0, 0
}
