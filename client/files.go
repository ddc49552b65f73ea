package client

import (
	"context"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"github.com/fsnotify/fsnotify"

	"porthub/routing"
	"porthub/xds"
	"porthub/xdsfile"
)

// Tables is what a gateway holds by its files.
type Tables struct {
	Snapshot          routing.Snapshot
	EndpointVersion   string // version of the clusters; empty: none has been read
	RouteVersion      string
	Applied, Rejected int // whole documents read, and texts that were none
}

// Update is one document that was read, or refused.
type Update struct {
	Source   string
	Document xds.Document
	Err      error     // why it was refused; what was held stays
	Written  time.Time // the file's time
	Size     int
	Elapsed  time.Duration // reading and decoding
}

// Reader follows a gateway's folder. It is for one goroutine.
type Reader struct {
	dir string
	// ChunkSize is how many bytes are read at a time and Pause how long to wait between; 0 reads all at once. A slow reader
	// still reads one whole document: it holds the file that it opened, whatever is moved into its place.
	ChunkSize  int
	ChunkDelay time.Duration
	seen       map[string]identity
}

// identity tells one file from the next that is moved into its place.
type identity struct {
	inode uint64
	time  time.Time
	size  int64
}

// NewReader follows the folder of a gateway below the front's.
func NewReader(frontDir, gateway string) *Reader {
	return &Reader{dir: filepath.Join(frontDir, gateway), seen: map[string]identity{}}
}

// Poll reads what has changed since the last look, endpoints before routes. A missing file is no update.
func (r *Reader) Poll() (updates []Update) {
	for _, name := range []string{xdsfile.EndpointFile, xdsfile.RouteFile} {
		path := filepath.Join(r.dir, name)
		info, err := os.Stat(path)
		if err != nil {
			if !errors.Is(err, fs.ErrNotExist) {
				updates = append(updates, Update{Source: path, Err: err})
			}
			continue
		}
		if identify(info) == r.seen[name] {
			continue
		}
		u, id := r.read(path)
		r.seen[name] = id
		updates = append(updates, u)
	}
	return updates
}

func identify(info os.FileInfo) identity {
	id := identity{time: info.ModTime(), size: info.Size()}
	if s, is := info.Sys().(*syscall.Stat_t); is {
		id.inode = s.Ino
	}
	return id
}

func (r *Reader) read(path string) (u Update, id identity) {
	start := time.Now()
	u.Source = path
	f, err := os.Open(path)
	if err != nil {
		u.Err = err
		return u, id
	}
	defer f.Close()
	if info, err := f.Stat(); err == nil { // of what was opened, not of what stands there by now
		id, u.Written = identify(info), info.ModTime()
	}
	var text []byte
	if r.ChunkSize <= 0 {
		text, err = io.ReadAll(f)
	} else {
		part := make([]byte, r.ChunkSize)
		for n := 0; err == nil; {
			n, err = f.Read(part)
			text = append(text, part[:n]...)
			time.Sleep(r.ChunkDelay)
		}
		if errors.Is(err, io.EOF) {
			err = nil
		}
	}
	if err != nil {
		u.Err = err
		return u, id
	}
	u.Size = len(text)
	u.Document, u.Err = xds.ParseDocument(text)
	u.Elapsed = time.Since(start)
	return u, id
}

// Apply puts an update into what is held. A refused one changes nothing but the count.
func (h *Tables) Apply(u Update) {
	if u.Err != nil {
		h.Rejected++
		return
	}
	h.Applied++
	switch u.Document.Type {
	case xds.EndpointType:
		h.Snapshot.Clusters, h.EndpointVersion = u.Document.Clusters, u.Document.Version
	case xds.RouteType:
		h.Snapshot.Routes, h.RouteVersion = u.Document.Routes, u.Document.Version
	}
}

// Follow looks whenever the folder changes, and every poll in any case, until the context ends.
func (r *Reader) Follow(ctx context.Context, poll time.Duration, each func([]Update)) {
	var signals chan fsnotify.Event
	w, err := fsnotify.NewWatcher()
	if err == nil {
		defer w.Close()
		signals = w.Events
	}
	watched := false
	tick := time.NewTicker(poll)
	defer tick.Stop()
	for {
		if !watched && w != nil {
			watched = w.Add(r.dir) == nil // the folder comes with the first publication
		}
		if updates := r.Poll(); len(updates) > 0 {
			each(updates)
		}
		select {
		case <-ctx.Done():
			return
		case <-signals:
		case <-tick.C:
		}
	}
}

func (u Update) String() string {
	return fmt.Sprintf("%s: %s, %d bytes, %v", u.Source, u.Document.Version, u.Size, u.Err)
}
