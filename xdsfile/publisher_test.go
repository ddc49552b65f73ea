package xdsfile_test

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"porthub/client"
	"porthub/coordinator"
	"porthub/policyapi"
	"porthub/routing"
	"porthub/xdsfile"
)

func publication(n, lines int) coordinator.Publish {
	c := routing.Cluster{Class: "view"}
	for i := range lines {
		c.Endpoints = append(c.Endpoints, routing.ClusterEndpoint{Endpoint: policyapi.EndpointID(fmt.Sprintf("127.0.0.1:%d", i+1)), Zone: "a", Weight: float64(n + 1)})
	}
	c.Sort()
	v := fmt.Sprintf("e.%d", n)
	return coordinator.Publish{Gateway: "gw", Version: v, Nonce: v, Snapshot: routing.Snapshot{Clusters: []routing.Cluster{c},
		Routes: []routing.Route{{Class: "view", Rate: float64(n + 1), Share: 1}}}, Changed: [2]bool{true, true}, Sync: n%2 == 1}
}

func open(t *testing.T, dir string) (*xdsfile.Publisher, func() []error) {
	t.Helper()
	var mu sync.Mutex
	var errs []error
	f, err := xdsfile.Open(dir, 3, func(_ coordinator.Gateway, err error) { mu.Lock(); defer mu.Unlock(); errs = append(errs, err) })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	return f, func() []error { mu.Lock(); defer mu.Unlock(); return errs }
}

func within(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within 20 s: %s", what)
		}
	}
}

// Large files are replaced over and over while slow readers are in the middle of them: each reads one complete version,
// and versions never go back.
func TestReadersNeverSeeAPartialFile(t *testing.T) {
	dir := t.TempDir()
	f, _ := open(t, dir)
	const rounds, lines = 150, 1500
	stop := make(chan struct{})
	var readers sync.WaitGroup
	for r := range 3 {
		readers.Add(1)
		go func() {
			defer readers.Done()
			reader := client.NewReader(dir, "gw")
			reader.ChunkSize, reader.ChunkDelay = 4096<<r, 50*time.Microsecond
			var tables client.Tables
			last := -1
			for {
				for _, u := range reader.Poll() {
					if u.Err != nil {
						t.Errorf("a partial table: %v", u.Err)
					}
					tables.Apply(u)
					if u.Document.Clusters == nil {
						continue
					}
					var n int
					_, _ = fmt.Sscanf(u.Document.Version, "e.%d", &n)
					if len(u.Document.Clusters[0].Endpoints) != lines || u.Document.Clusters[0].Endpoints[0].Weight != float64(n+1) || n < last {
						t.Errorf("version %d after %d with %d lines", n, last, len(u.Document.Clusters[0].Endpoints))
					}
					last = n
				}
				select {
				case <-stop:
					if tables.Applied == 0 {
						t.Error("nothing was read")
					}
					return
				default:
				}
			}
		}()
	}
	for n := range rounds {
		f.Publish(publication(n, lines))
		time.Sleep(4 * time.Millisecond)
	}
	last := client.NewReader(dir, "gw")
	within(t, "the last version", func() bool {
		for _, u := range last.Poll() {
			if u.Document.Version == fmt.Sprintf("e.%d", rounds-1) {
				return true
			}
		}
		return false
	})
	close(stop)
	readers.Wait()
}

// The files of a writer killed before its rename are removed; complete files stay.
func TestRemoveTemporaryFiles(t *testing.T) {
	dir := t.TempDir()
	f, _ := open(t, dir)
	f.Publish(publication(1, 3))
	path := filepath.Join(dir, "gw", xdsfile.RouteFile)
	within(t, "files", func() bool { _, err := os.Stat(path); return err == nil })
	for _, left := range []string{".eds.json1234", ".rds.json99"} {
		if err := os.WriteFile(filepath.Join(dir, "gw", left), []byte(`{"versi`), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if n, err := xdsfile.RemoveTemporaryFiles(dir); n != 2 || err != nil {
		t.Errorf("removed %d, %v", n, err)
	}
	if _, err := os.Stat(path); err != nil {
		t.Error(err)
	}
}

// A file with the same content is not written again.
func TestUnchangedFilesAreNotWritten(t *testing.T) {
	f, _ := open(t, t.TempDir())
	f.Publish(publication(1, 3))
	within(t, "both files", func() bool { return f.Stats().Files == 2 })
	f.Publish(publication(1, 3))
	within(t, "both unchanged", func() bool { return f.Stats().Unchanged == 2 })
	if n := f.Stats().Files; n != 2 {
		t.Errorf("%d files written", n)
	}
}

// A directory that was removed is created again. Where that fails (a file is in its place; a full disk would fail as
// well) the failure is reported, other gateways are served, and it is retried until it succeeds.
func TestDirectoryThatVanishes(t *testing.T) {
	dir := t.TempDir()
	f, errs := open(t, dir)
	f.Publish(publication(1, 3))
	within(t, "the first", func() bool { return f.Stats().Files == 2 })
	if err := os.RemoveAll(filepath.Join(dir, "gw")); err != nil {
		t.Fatal(err)
	}
	f.Publish(publication(2, 3))
	within(t, "the second", func() bool { return f.Stats().Files == 4 })
	if err := os.RemoveAll(filepath.Join(dir, "gw")); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(dir, "gw"), nil, 0o600); err != nil {
		t.Fatal(err)
	}
	f.Publish(publication(3, 3))
	other := publication(1, 3)
	other.Gateway = "other"
	f.Publish(other)
	within(t, "the failure reported and the other gateway served", func() bool { return len(errs()) > 0 && f.Stats().Files == 6 })
	if err := os.Remove(filepath.Join(dir, "gw")); err != nil {
		t.Fatal(err)
	}
	within(t, "the third, by a retry", func() bool { return f.Stats().Files == 8 })
	bad := publication(1, 1)
	bad.Gateway = "../elsewhere"
	f.Publish(bad)
	within(t, "a name that is no directory", func() bool {
		for _, err := range errs() {
			if strings.Contains(err.Error(), "is not valid as a directory name") {
				return true
			}
		}
		return false
	})
	if _, err := os.Stat(filepath.Join(dir, "..", "elsewhere")); !errors.Is(err, os.ErrNotExist) {
		t.Error("it was written outside")
	}
}
