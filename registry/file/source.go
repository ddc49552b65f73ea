package file

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/fsnotify/fsnotify"

	"porthub/policyapi"
)

const (
	minPollInterval = 10 * time.Millisecond
	// requestBuffer holds requests that wait. When it is full, another request would change nothing.
	requestBuffer = 16
)

// Source follows a file.
type Source struct {
	path          string
	pollInterval  time.Duration
	onUpdate      func([]policyapi.Endpoint, error)
	subscriptions chan bool // true: deliver the list now and its changes, false: no more changes
	fetches       chan struct{}

	// The state of Run.
	watching bool
	failing  bool   // the last read failed
	content  []byte // last delivered
}

// New returns a source that does nothing until Run. The function onUpdate is called by Run's goroutine with each changed
// list, complete, or with an error.
func New(path string, pollInterval time.Duration, onUpdate func([]policyapi.Endpoint, error)) *Source {
	return &Source{
		path:          path,
		pollInterval:  max(pollInterval, minPollInterval),
		onUpdate:      onUpdate,
		subscriptions: make(chan bool, requestBuffer),
		fetches:       make(chan struct{}, requestBuffer),
	}
}

// Watch requests the list now and its changes from now on, or no more changes. It never blocks.
func (s *Source) Watch(on bool) {
	select {
	case s.subscriptions <- on:
	default:
	}
}

// Fetch requests the list once. It never blocks.
func (s *Source) Fetch() {
	select {
	case s.fetches <- struct{}{}:
	default:
	}
}

// Run serves requests until the context ends. It watches the directory, since a file that is replaced by a rename is a
// new file; where that fails the poll interval alone has to do.
func (s *Source) Run(ctx context.Context) {
	var changes chan fsnotify.Event
	if watcher, err := fsnotify.NewWatcher(); err == nil {
		defer func() { _ = watcher.Close() }()
		if watcher.Add(filepath.Dir(s.path)) == nil {
			changes = watcher.Events
		}
	}
	ticker := time.NewTicker(s.pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case on := <-s.subscriptions:
			s.watching = on
			if on {
				s.deliver()
			}
		case <-s.fetches:
			s.deliver()
		case event := <-changes:
			if filepath.Base(event.Name) == filepath.Base(s.path) {
				s.deliverChange()
			}
		case <-ticker.C:
			s.deliverChange()
		}
	}
}

// deliver reads the file and delivers the list or the error.
func (s *Source) deliver() {
	text, err := os.ReadFile(s.path)
	s.deliverContent(text, err)
}

// deliverChange delivers a list that has changed. Of an error that lasts only the first is delivered.
func (s *Source) deliverChange() {
	if !s.watching {
		return
	}
	text, err := os.ReadFile(s.path)
	if err == nil && !s.failing && bytes.Equal(text, s.content) {
		return
	}
	if s.failing {
		if _, parseErr := s.parse(text, err); parseErr != nil {
			return
		}
	}
	s.deliverContent(text, err)
}

func (s *Source) deliverContent(text []byte, readErr error) {
	endpoints, err := s.parse(text, readErr)
	if err != nil {
		s.failing = true
		s.onUpdate(nil, fmt.Errorf("%s: %w", s.path, err))
		return
	}
	s.failing = false
	s.content = text
	s.onUpdate(endpoints, nil)
}

func (s *Source) parse(text []byte, readErr error) ([]policyapi.Endpoint, error) {
	if readErr != nil {
		return nil, readErr
	}
	if len(text) > maxBytes {
		return nil, tooLarge(s.path)
	}
	return Parse(text)
}
