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

// publication returns the nth publication to the gateway gw. The endpoints have the weight n+1, and every second publication
// is synced to disk.
func publication(n, endpoints int) coordinator.Publish {
	cluster := routing.Cluster{Class: "view"}
	for i := range endpoints {
		cluster.Endpoints = append(cluster.Endpoints,
			routing.ClusterEndpoint{Endpoint: policyapi.EndpointID(fmt.Sprintf("127.0.0.1:%d", i+1)), Zone: "a", Weight: float64(n + 1)})
	}
	cluster.Sort()
	version := fmt.Sprintf("e.%d", n)
	return coordinator.Publish{Gateway: "gw", Version: version, Nonce: version, Snapshot: routing.Snapshot{Clusters: []routing.Cluster{cluster},
		Routes: []routing.Route{{Class: "view", Rate: float64(n + 1), Share: 1}}}, Changed: [2]bool{true, true}, Sync: n%2 == 1}
}

// openPublisher returns a publisher with three writers, and a function that returns the failures reported so far.
func openPublisher(t *testing.T, dir string) (*xdsfile.Publisher, func() []error) {
	t.Helper()
	var mu sync.Mutex
	var errs []error
	publisher, err := xdsfile.Open(dir, 3, func(_ coordinator.Gateway, err error) { mu.Lock(); defer mu.Unlock(); errs = append(errs, err) })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(publisher.Close)
	return publisher, func() []error { mu.Lock(); defer mu.Unlock(); return errs }
}

// waitUntil fails the test if the condition does not hold within 20 s.
func waitUntil(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not within 20 s: %s", description)
		}
	}
}

// Large files are replaced repeatedly while slow readers are reading them. Each reader gets complete documents only, in the
// order of their versions.
func TestReadersNeverSeeAPartialFile(t *testing.T) {
	dir := t.TempDir()
	publisher, _ := openPublisher(t, dir)
	const publications, endpoints = 150, 1500
	stop := make(chan struct{})
	var readers sync.WaitGroup
	for i := range 3 {
		readers.Add(1)
		go func() {
			defer readers.Done()
			reader := client.NewReader(dir, "gw")
			reader.ChunkSize, reader.ChunkDelay = 4096<<i, 50*time.Microsecond
			var tables client.Tables
			last := -1
			for {
				for _, update := range reader.Poll() {
					if update.Err != nil {
						t.Errorf("read an invalid document: %v", update.Err)
					}
					tables.Apply(update)
					if update.Document.Clusters == nil {
						continue
					}
					var version int
					_, _ = fmt.Sscanf(update.Document.Version, "e.%d", &version)
					if len(update.Document.Clusters[0].Endpoints) != endpoints ||
						update.Document.Clusters[0].Endpoints[0].Weight != float64(version+1) || version < last {
						t.Errorf("read version %d after %d with %d endpoints, want a complete document that is not older",
							version, last, len(update.Document.Clusters[0].Endpoints))
					}
					last = version
				}
				select {
				case <-stop:
					if tables.Applied == 0 {
						t.Error("no document was read")
					}
					return
				default:
				}
			}
		}()
	}
	for n := range publications {
		publisher.Publish(publication(n, endpoints))
		time.Sleep(4 * time.Millisecond)
	}
	last := client.NewReader(dir, "gw")
	waitUntil(t, "the last version is read", func() bool {
		for _, update := range last.Poll() {
			if update.Document.Version == fmt.Sprintf("e.%d", publications-1) {
				return true
			}
		}
		return false
	})
	close(stop)
	readers.Wait()
}

// The temporary files of writers that were killed before the rename are removed. Complete files stay.
func TestRemoveTemporaryFiles(t *testing.T) {
	dir := t.TempDir()
	publisher, _ := openPublisher(t, dir)
	publisher.Publish(publication(1, 3))
	path := filepath.Join(dir, "gw", xdsfile.RouteFile)
	waitUntil(t, "the route file exists", func() bool { _, err := os.Stat(path); return err == nil })
	for _, temporary := range []string{".eds.json1234", ".rds.json99"} {
		if err := os.WriteFile(filepath.Join(dir, "gw", temporary), []byte(`{"versi`), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if n, err := xdsfile.RemoveTemporaryFiles(dir); n != 2 || err != nil {
		t.Errorf("removed %d files, error %v; want 2 files and no error", n, err)
	}
	if _, err := os.Stat(path); err != nil {
		t.Error(err)
	}
}

// A file with the same content is not written again.
func TestUnchangedFilesAreNotWritten(t *testing.T) {
	publisher, _ := openPublisher(t, t.TempDir())
	publisher.Publish(publication(1, 3))
	waitUntil(t, "both files are written", func() bool { return publisher.Stats().Files == 2 })
	publisher.Publish(publication(1, 3))
	waitUntil(t, "both files are counted as unchanged", func() bool { return publisher.Stats().Unchanged == 2 })
	if n := publisher.Stats().Files; n != 2 {
		t.Errorf("%d files written, want 2", n)
	}
}

// A gateway's directory that was removed is created again. If that fails, the failure is reported, other gateways are still
// served, and the write is retried until it succeeds. Here a file is in place of the directory; a full disk would cause the
// same failure.
func TestRemovedDirectoryIsCreatedAgain(t *testing.T) {
	dir := t.TempDir()
	publisher, errs := openPublisher(t, dir)
	publisher.Publish(publication(1, 3))
	waitUntil(t, "the first publication is written", func() bool { return publisher.Stats().Files == 2 })
	if err := os.RemoveAll(filepath.Join(dir, "gw")); err != nil {
		t.Fatal(err)
	}
	publisher.Publish(publication(2, 3))
	waitUntil(t, "the second publication is written", func() bool { return publisher.Stats().Files == 4 })
	if err := os.RemoveAll(filepath.Join(dir, "gw")); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(dir, "gw"), nil, 0o600); err != nil {
		t.Fatal(err)
	}
	publisher.Publish(publication(3, 3))
	other := publication(1, 3)
	other.Gateway = "other"
	publisher.Publish(other)
	waitUntil(t, "the failure is reported and the other gateway is served", func() bool { return len(errs()) > 0 && publisher.Stats().Files == 6 })
	if err := os.Remove(filepath.Join(dir, "gw")); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "the third publication is written by a retry", func() bool { return publisher.Stats().Files == 8 })
	invalid := publication(1, 1)
	invalid.Gateway = "../elsewhere"
	publisher.Publish(invalid)
	waitUntil(t, "the invalid gateway name is reported", func() bool {
		for _, err := range errs() {
			if strings.Contains(err.Error(), "is not valid as a directory name") {
				return true
			}
		}
		return false
	})
	if _, err := os.Stat(filepath.Join(dir, "..", "elsewhere")); !errors.Is(err, os.ErrNotExist) {
		t.Error("a gateway name with .. led to files outside the table directory")
	}
}
