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

// breakRule changes the tables or the retries of gateways so that the given rule is violated, to verify that the audit detects
// the violation. An empty rule changes nothing.
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
		go f.rewriteTables() // returns when the scenario ends
	}
}

// emptyFirstClass removes all endpoints of the first class after a sixth of the scenario.
func (f *fleet) emptyFirstClass(s *routing.Snapshot) {
	if f.world.Now() > f.scenario.length()/3/2 {
		emptyFirstCluster(s)
	}
}

func emptyFirstCluster(s *routing.Snapshot) {
	s.Clusters = slices.Clone(s.Clusters)
	s.Clusters[0].Endpoints = nil
}

// keepAllEndpoints returns a function that adds all endpoints of earlier tables to each table, as if none were ever removed
// or withheld.
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

// preferRestarted raises the weights of restarted endpoints so far that they receive nearly all requests.
func (f *fleet) preferRestarted(s *routing.Snapshot) {
	const dominantWeight = 1000
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
				endpoints[j].Weight = dominantWeight
			}
		}
		s.Clusters[i].Endpoints = endpoints
	}
}

// rewriteTables rewrites a gateway's table file repeatedly, each time with a new message number, from a third of the scenario
// on.
func (f *fleet) rewriteTables() {
	const (
		firstMessageNumber = 100_000 // above the coordinator's numbers
		interval           = 200 * time.Millisecond
	)
	path := filepath.Join(tableDir(f.dir), f.gateways[0].Name, "eds.json")
	for number := firstMessageNumber; f.world.Now() < f.scenario.length(); number++ {
		if f.world.Now() > f.scenario.length()/3 {
			_ = renumberFile(path, number) // retried if the file does not exist yet
		}
		time.Sleep(interval)
	}
}

// renumberFile replaces the message number in a document's version. It replaces the file atomically.
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

// versionSpan returns the position of the version in a JSON document, with or without a space after the colon; 0, 0 if there
// is none.
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
