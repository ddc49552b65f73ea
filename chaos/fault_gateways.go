package chaos

import (
	"bytes"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"porthub/daemon"
	"porthub/policyapi"
)

// chooseGateways draws the fraction Share of the gateways, from the fault's zone if it has one.
func (f *fleet) chooseGateways(fault Fault, rng *rand.Rand) []int {
	var eligible []int
	for i, g := range f.gateways {
		if fault.Zone == "" || g.Zone == fault.Zone {
			eligible = append(eligible, i)
		}
	}
	rng.Shuffle(len(eligible), func(i, j int) { eligible[i], eligible[j] = eligible[j], eligible[i] })
	return eligible[:shareOf(fault.Share, len(eligible))]
}

// restartGateway kills a gateway and starts it again after the given time, unless the run has ended by then.
func (f *fleet) restartGateway(i int, after time.Duration) {
	g := f.gateways[i]
	g.Kill()
	f.pending.Go(func() {
		if f.sleep(after) {
			_ = g.Start() // a gateway that can't listen again stays down
		}
	})
}

// crashGateways crashes and restarts the gateways, or the coordinator if Size is above 0.5.
func (in injection) crashGateways() {
	f := in.fleet
	if in.Size <= 0.5 {
		for _, i := range in.gateways {
			f.restartGateway(i, duration(in.Duration))
		}
		return
	}
	if f.coordinator == nil {
		return
	}
	f.coordinator.kill()
	f.sleep(duration(in.Duration))
	_ = f.coordinator.start() // the process records the error
}

func (in injection) isolateGateways() {
	in.setIsolated(true)
	in.fleet.sleep(duration(in.Duration))
	in.setIsolated(false)
}

func (in injection) setIsolated(on bool) {
	for _, i := range in.gateways {
		in.fleet.gateways[i].SetIsolated(on)
	}
}

func (in injection) delayAcks() {
	in.setAckFault(in.Size == 0, seconds(in.Size))
	in.fleet.sleep(duration(in.Duration))
	in.setAckFault(false, 0)
}

func (in injection) setAckFault(withhold bool, delay time.Duration) {
	for _, i := range in.gateways {
		in.fleet.gateways[i].SetAckFault(withhold, delay)
	}
}

func (in injection) removeTableDirs() {
	for _, i := range in.gateways {
		_ = os.RemoveAll(filepath.Join(tableDir(in.fleet.dir), in.fleet.gateways[i].Name))
	}
}

// rollBack pins the tables to an earlier version until the fault ends, as an operator would.
func (in injection) rollBack() {
	const reason = "drill"
	f := in.fleet
	if f.source != coordinatorTables {
		return
	}
	var answer daemon.PinResponse
	pin := daemon.PinRequest{Fleet: true, Ago: policyapi.Microseconds(in.Size * 1e6), Reason: reason}
	if err := f.sendOperatorRequest("/tables/pin", pin, &answer); err != nil || answer.Error != "" {
		return // the coordinator is down or no version is that old
	}
	f.sleep(duration(in.Duration))
	// The error is ignored, as the coordinator may be down.
	_ = f.sendOperatorRequest("/tables/unpin", daemon.UnpinRequest{ID: answer.Pin.ID, Reason: reason}, &answer)
}

// sendOperatorRequest sends an operator's request to the coordinator and decodes the response.
func (f *fleet) sendOperatorRequest(path string, body, answer any) error {
	text, err := json.Marshal(body)
	if err != nil {
		return err
	}
	response, err := (&http.Client{Timeout: 5 * time.Second}).Post("http://"+f.address()+path, "application/json", bytes.NewReader(text))
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	return json.NewDecoder(response.Body).Decode(answer)
}

// breakList truncates, empties and removes the list's file, each for a third of the fault's duration.
func (in injection) breakList() {
	f := in.fleet
	path := listPath(f.dir)
	f.setListFrozen(true)
	complete, _ := os.ReadFile(path) // a missing file counts as empty
	for _, corrupt := range []func(){
		func() { _ = os.WriteFile(path, complete[:len(complete)/2], 0o644) },
		func() { _ = os.WriteFile(path, nil, 0o644) },
		func() { _ = os.Remove(path) },
	} {
		corrupt()
		f.sleep(duration(in.Duration) / 3)
	}
	f.setListFrozen(false)
	_ = f.writeList()
}

func (f *fleet) setListFrozen(frozen bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listFrozen = frozen
}
