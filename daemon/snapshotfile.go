package daemon

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/fxamacker/cbor/v2"

	"porthub/policyapi"
	"porthub/recovery"
	"porthub/xdsfile"
)

// The files of the state folder, each replaced atomically: the endpoint list whenever it changes, and a snapshot of the
// core's state every second. Package recovery decides what of the snapshot the next start may use.
const (
	listName     = "list.json"
	snapshotName = "snapshot.bin"
)

// A snapshot file has snapshotMagic, the format and the Castagnoli checksum of the body as little-endian 32-bit numbers, and
// the body in CBOR.
const (
	snapshotMagic      = "PHSNAP1\n"
	snapshotHeadLength = len(snapshotMagic) + 8
)

// ErrInvalidSnapshot is a snapshot that can't be read.
var ErrInvalidSnapshot = errors.New("snapshot")

type savedList struct {
	Version   policyapi.ListVersion `json:"version"`
	Endpoints []policyapi.Endpoint  `json:"entries"`
}

func snapshotChecksum(body []byte) uint32 {
	return crc32.Checksum(body, crc32.MakeTable(crc32.Castagnoli))
}

// ReadSnapshot reads the snapshot of a state folder. Its error wraps fs.ErrNotExist if there is none, and ErrInvalidSnapshot if it
// is damaged or of another format.
func ReadSnapshot(dir string) (s recovery.Snapshot, err error) {
	file, err := os.ReadFile(filepath.Join(dir, snapshotName))
	if err != nil {
		return s, err
	}
	if len(file) < snapshotHeadLength || string(file[:len(snapshotMagic)]) != snapshotMagic {
		return s, fmt.Errorf("%w: %s is not a snapshot, or is truncated", ErrInvalidSnapshot, snapshotName)
	}
	format := binary.LittleEndian.Uint32(file[len(snapshotMagic):])
	sum := binary.LittleEndian.Uint32(file[len(snapshotMagic)+4:])
	body := file[snapshotHeadLength:]
	if format != recovery.Format {
		return s, fmt.Errorf("%w: it has format %d, this build (%s) reads %d", ErrInvalidSnapshot, format, Build(), recovery.Format)
	}
	if snapshotChecksum(body) != sum {
		return s, fmt.Errorf("%w: checksum mismatch", ErrInvalidSnapshot)
	}
	if err := cbor.Unmarshal(body, &s); err != nil {
		return s, fmt.Errorf("%w: %w", ErrInvalidSnapshot, err)
	}
	return s, nil
}

// writeSnapshot replaces the snapshot of a state folder. It is not synced: a killed process loses nothing by that, and a
// power cut at most the snapshot.
func writeSnapshot(dir string, s recovery.Snapshot) error {
	body, err := cbor.Marshal(s)
	if err != nil {
		return err
	}
	file := binary.LittleEndian.AppendUint32([]byte(snapshotMagic), uint32(s.Format))
	file = binary.LittleEndian.AppendUint32(file, snapshotChecksum(body))
	return xdsfile.ReplaceFile(filepath.Join(dir, snapshotName), append(file, body...))
}

// readList reads the endpoint list of a state folder; nil: there is none.
func readList(dir string) (*savedList, error) {
	file, err := os.ReadFile(filepath.Join(dir, listName))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var list savedList
	if err := json.Unmarshal(file, &list); err != nil {
		return nil, fmt.Errorf("%s: %w", listName, err)
	}
	return &list, nil
}

func writeList(dir string, list policyapi.EndpointUpdate) error {
	file, err := json.Marshal(savedList{list.Version, list.Endpoints})
	if err != nil {
		return err
	}
	return xdsfile.ReplaceFile(filepath.Join(dir, listName), file)
}
