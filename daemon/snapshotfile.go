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

// The files of the state directory. Each is replaced atomically: the endpoint list whenever it changes, and the snapshot of the
// core's state every second. Package recovery decides which parts of the snapshot the next start may use.
const (
	listName     = "list.json"
	snapshotName = "snapshot.bin"
)

// A snapshot file consists of snapshotMagic, the format and the Castagnoli checksum of the body as little-endian 32-bit numbers,
// and the body in CBOR.
const (
	snapshotMagic        = "PHSNAP1\n"
	snapshotHeaderLength = len(snapshotMagic) + 8
)

// ErrInvalidSnapshot reports a snapshot that can't be decoded.
var ErrInvalidSnapshot = errors.New("invalid snapshot")

// savedList is the content of the endpoint list's file.
type savedList struct {
	Version   policyapi.ListVersion `json:"version"`
	Endpoints []policyapi.Endpoint  `json:"entries"`
}

func snapshotChecksum(body []byte) uint32 {
	return crc32.Checksum(body, crc32.MakeTable(crc32.Castagnoli))
}

// ReadSnapshot reads the snapshot of a state directory. Its error wraps fs.ErrNotExist if there is none, and ErrInvalidSnapshot
// if it is damaged or has another format.
func ReadSnapshot(dir string) (s recovery.Snapshot, err error) {
	data, err := os.ReadFile(filepath.Join(dir, snapshotName))
	if err != nil {
		return s, err
	}
	if len(data) < snapshotHeaderLength || string(data[:len(snapshotMagic)]) != snapshotMagic {
		return s, fmt.Errorf("%w: %s is truncated or does not begin with the snapshot magic", ErrInvalidSnapshot, snapshotName)
	}
	format := binary.LittleEndian.Uint32(data[len(snapshotMagic):])
	sum := binary.LittleEndian.Uint32(data[len(snapshotMagic)+4:])
	body := data[snapshotHeaderLength:]
	if format != recovery.Format {
		return s, fmt.Errorf("%w: the file has format %d, this build (%s) reads format %d", ErrInvalidSnapshot, format, Build(), recovery.Format)
	}
	if snapshotChecksum(body) != sum {
		return s, fmt.Errorf("%w: the checksum of the body does not match", ErrInvalidSnapshot)
	}
	if err := cbor.Unmarshal(body, &s); err != nil {
		return s, fmt.Errorf("%w: %w", ErrInvalidSnapshot, err)
	}
	return s, nil
}

// writeSnapshot replaces the snapshot of a state directory. The file is not synced: a killed process loses nothing, and a power
// failure loses at most the snapshot.
func writeSnapshot(dir string, s recovery.Snapshot) error {
	body, err := cbor.Marshal(s)
	if err != nil {
		return err
	}
	data := binary.LittleEndian.AppendUint32([]byte(snapshotMagic), uint32(s.Format))
	data = binary.LittleEndian.AppendUint32(data, snapshotChecksum(body))
	return xdsfile.ReplaceFile(filepath.Join(dir, snapshotName), append(data, body...))
}

// readList reads the endpoint list of a state directory. It returns nil if there is none.
func readList(dir string) (*savedList, error) {
	data, err := os.ReadFile(filepath.Join(dir, listName))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var list savedList
	if err := json.Unmarshal(data, &list); err != nil {
		return nil, fmt.Errorf("%s: %w", listName, err)
	}
	return &list, nil
}

func writeList(dir string, list policyapi.EndpointUpdate) error {
	data, err := json.Marshal(savedList{list.Version, list.Endpoints})
	if err != nil {
		return err
	}
	return xdsfile.ReplaceFile(filepath.Join(dir, listName), data)
}
