package client

import (
	"context"
	"errors"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"github.com/fsnotify/fsnotify"

	"porthub/xds"
	"porthub/xdsfile"
)

// Reader reads a gateway's tables from its directory. It is not safe for concurrent use.
type Reader struct {
	dir string
	// ChunkSize is the number of bytes per read, and ChunkDelay the wait after each chunk. If ChunkSize is 0, a file is
	// read in one piece. A slow reader still gets one complete document, because it reads the file that it opened even if another
	// one is renamed over it.
	ChunkSize  int
	ChunkDelay time.Duration
	seen       map[string]fileIdentity // identity of the file that was read last, by file name
}

// fileIdentity distinguishes a file from another one that is renamed over it.
type fileIdentity struct {
	inode   uint64
	modTime time.Time
	size    int64
}

// NewReader returns a reader for the gateway's directory below the coordinator's table directory.
func NewReader(tableDir, gateway string) *Reader {
	return &Reader{dir: filepath.Join(tableDir, gateway), seen: map[string]fileIdentity{}}
}

// Poll reads the files that changed since the last call, endpoints before routes. There is no update for a missing file.
func (r *Reader) Poll() (updates []Update) {
	for _, name := range []string{xdsfile.EndpointFile, xdsfile.RouteFile} {
		path := filepath.Join(r.dir, name)
		info, err := os.Stat(path)
		if errors.Is(err, fs.ErrNotExist) {
			continue
		}
		if err != nil {
			updates = append(updates, Update{Source: path, Err: err})
			continue
		}
		if identityOf(info) == r.seen[name] {
			continue
		}
		update, identity := r.read(path)
		r.seen[name] = identity
		updates = append(updates, update)
	}
	return updates
}

func identityOf(info os.FileInfo) fileIdentity {
	identity := fileIdentity{modTime: info.ModTime(), size: info.Size()}
	if stat, ok := info.Sys().(*syscall.Stat_t); ok {
		identity.inode = stat.Ino
	}
	return identity
}

// read reads and decodes a file, and returns the identity of the file that it opened.
func (r *Reader) read(path string) (update Update, identity fileIdentity) {
	start := time.Now()
	update.Source = path
	file, err := os.Open(path)
	if err != nil {
		update.Err = err
		return update, identity
	}
	defer func() { _ = file.Close() }()
	// The identity must be that of the opened file, not that of another one renamed over it since.
	if info, err := file.Stat(); err == nil {
		identity = identityOf(info)
		update.Written = info.ModTime()
	}
	text, err := r.readAll(file)
	if err != nil {
		update.Err = err
		return update, identity
	}
	update.Size = len(text)
	update.Document, update.Err = xds.ParseDocument(text)
	update.Elapsed = time.Since(start)
	return update, identity
}

// readAll reads a file, in chunks if ChunkSize is set.
func (r *Reader) readAll(file io.Reader) ([]byte, error) {
	if r.ChunkSize <= 0 {
		return io.ReadAll(file)
	}
	var text []byte
	chunk := make([]byte, r.ChunkSize)
	for {
		n, err := file.Read(chunk)
		text = append(text, chunk[:n]...)
		time.Sleep(r.ChunkDelay)
		if errors.Is(err, io.EOF) {
			return text, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// Follow calls handle with each batch of updates until the context ends. It checks the files after each change notification
// for the directory, and once per interval in case there are no notifications.
func (r *Reader) Follow(ctx context.Context, interval time.Duration, handle func([]Update)) {
	var changes chan fsnotify.Event
	watcher, err := fsnotify.NewWatcher()
	if err == nil { // without notifications, the files are checked once per interval
		defer func() { _ = watcher.Close() }()
		changes = watcher.Events
	}
	watching := false
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		if !watching && watcher != nil {
			watching = watcher.Add(r.dir) == nil // fails until the first publication creates the directory
		}
		if updates := r.Poll(); len(updates) > 0 {
			handle(updates)
		}
		select {
		case <-ctx.Done():
			return
		case <-changes:
		case <-ticker.C:
		}
	}
}
