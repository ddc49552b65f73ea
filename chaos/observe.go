package chaos

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"porthub/client"
	"porthub/daemon"
)

// maxConvergence is the longest time that waitForConvergence waits.
const maxConvergence = 10 * time.Second

// waitForConvergence waits until all gateways are connected and have acknowledged their last tables, and returns how many
// seconds that took; 10 if it took longer.
func waitForConvergence(f *fleet) float64 {
	start := time.Now()
	for time.Since(start) < maxConvergence {
		if hasConverged(f) {
			return time.Since(start).Seconds()
		}
		time.Sleep(20 * time.Millisecond)
	}
	return maxConvergence.Seconds()
}

func hasConverged(f *fleet) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	status, err := client.Status(ctx, f.address())
	if err != nil || len(status.Gateways) != len(f.gateways) {
		return false
	}
	for _, g := range status.Gateways {
		if !g.Connected || g.Unacknowledged != 0 {
			return false
		}
	}
	return true
}

// readCoordinatorStats requests the coordinator's counters. It returns the zero value if the coordinator does not respond.
func readCoordinatorStats(f *fleet) CoordinatorStats {
	var status daemon.Status
	if err := getJSON("http://"+f.address()+"/tables", &status); err != nil {
		return CoordinatorStats{}
	}
	stats := CoordinatorStats{Files: status.FileDelivery.Files, Bytes: status.FileDelivery.Bytes, Polls: status.PollDelivery,
		Steps: status.StepTimes}
	for _, g := range status.Gateways {
		stats.Messages += g.Published
	}
	if status.Capture != nil {
		stats.Capture = *status.Capture
	}
	return stats
}

// getJSON sends a GET request to the control API and decodes the response.
func getJSON(url string, into any) error {
	response, err := (&http.Client{Timeout: 5 * time.Second}).Get(url)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, response.Body)
		return fmt.Errorf("GET %s: unexpected status %s", url, response.Status)
	}
	return json.NewDecoder(response.Body).Decode(into)
}

// countLevelChanges counts the changes of the service level in a coordinator's log and returns the count of the scope with the
// most changes.
func countLevelChanges(path string) int {
	text, err := os.ReadFile(path)
	if err != nil {
		return 0
	}
	highest := 0
	byZone := map[string]int{}
	for line := range strings.Lines(string(text)) {
		var record struct {
			Event string `json:"msg"`
			Zone  string `json:"zone"`
		}
		if json.Unmarshal([]byte(line), &record) == nil && record.Event == "service_level" {
			byZone[record.Zone]++
			highest = max(highest, byZone[record.Zone])
		}
	}
	return highest
}

// showProgress writes a status line each second until done is closed.
func showProgress(f *fleet, w io.Writer, done <-chan struct{}) {
	for {
		select {
		case <-done:
			fmt.Fprintln(w)
			return
		case <-time.After(time.Second):
		}
		now := f.world.Now()
		running := 0
		for _, e := range f.endpoints {
			if up, _ := e.Running(); up {
				running++
			}
		}
		var active []string
		for _, fault := range f.scenario.Faults {
			if fault.active(now) {
				active = append(active, fault.Name)
			}
		}
		_, sum := f.tally.Totals()
		fmt.Fprintf(w, "\r%3.0f of %d s  %6d requests  service %.3f  endpoints up %d of %d  %-50s", now.Seconds(), f.scenario.Seconds, sum.Requests,
			sum.Service(), running, len(f.endpoints), strings.Join(active, " "))
	}
}
