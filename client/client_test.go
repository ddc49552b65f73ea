package client_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"porthub/client"
	"porthub/routing"
	"porthub/xds"
	"porthub/xdsfile"
)

// writeEndpoints replaces the file with the endpoints in a gateway's directory.
func writeEndpoints(t *testing.T, dir, version string) {
	t.Helper()
	clusters := []routing.Cluster{{Class: "view", Endpoints: []routing.ClusterEndpoint{{Endpoint: "127.0.0.1:1", Zone: "a", Weight: 1}}}}
	message, err := xds.NewEndpointDocument(version, "n", clusters)
	if err != nil {
		t.Fatal(err)
	}
	text, err := xds.Encode(message)
	if err != nil {
		t.Fatal(err)
	}
	if err := xdsfile.ReplaceFile(filepath.Join(dir, xdsfile.EndpointFile), text); err != nil {
		t.Fatal(err)
	}
}

func TestReaderReadsEachFileOnce(t *testing.T) {
	for name, chunkSize := range map[string]int{"whole": 0, "in chunks": 7} {
		t.Run(name, func(t *testing.T) {
			tableDir := t.TempDir()
			dir := filepath.Join(tableDir, "gw")
			if err := os.Mkdir(dir, 0o755); err != nil {
				t.Fatal(err)
			}
			reader := client.NewReader(tableDir, "gw")
			reader.ChunkSize = chunkSize
			if updates := reader.Poll(); len(updates) != 0 {
				t.Fatalf("Poll before the first file: %v, want no updates", updates)
			}
			for _, version := range []string{"v1", "v2"} {
				writeEndpoints(t, dir, version)
				updates := reader.Poll()
				if len(updates) != 1 || updates[0].Err != nil || updates[0].Document.Version != version {
					t.Fatalf("Poll after a change: %v, want one update to version %s", updates, version)
				}
				if updates := reader.Poll(); len(updates) != 0 {
					t.Fatalf("Poll for an unchanged file: %v, want no updates", updates)
				}
			}
		})
	}
}

func TestTablesKeepTheirStateAfterAnInvalidUpdate(t *testing.T) {
	var tables client.Tables
	clusters := []routing.Cluster{{Class: "view"}}
	tables.Apply(client.Update{Document: xds.Document{Type: xds.EndpointType, Version: "v1", Clusters: clusters}})
	tables.Apply(client.Update{Document: xds.Document{Type: xds.EndpointType, Version: "v2"}, Err: xds.ErrInvalidMessage})
	if tables.EndpointVersion != "v1" || len(tables.Snapshot.Clusters) != 1 || tables.Applied != 1 || tables.Rejected != 1 {
		t.Errorf("tables %+v, want version v1 with one applied and one rejected document", tables)
	}
}

func TestRejectedMessages(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, "another name on this connection", http.StatusConflict)
	}))
	defer server.Close()
	addr := strings.TrimPrefix(server.URL, "http://")
	link := client.NewLink(client.Options{Node: xds.Node{Name: "gw"}, Coordinator: addr})
	defer link.Close()
	err := link.Join(context.Background(), client.Tables{})
	var rejected *client.RejectedError
	if !errors.Is(err, client.ErrRejected) || !errors.As(err, &rejected) || rejected.StatusCode != http.StatusConflict {
		t.Errorf("Join: error %v, want a RejectedError with status 409", err)
	}
	if link.LastResponse().IsZero() {
		t.Error("LastResponse is the zero time after a rejection, want the time of the rejection")
	}
	if _, err := client.Status(context.Background(), addr); !errors.Is(err, client.ErrRejected) {
		t.Errorf("Status: error %v, want ErrRejected", err)
	}
}
