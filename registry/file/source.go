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
	// requestBuffer is the number of requests of each kind that can wait for Run. When the buffer is full, further requests
	// are discarded, since another one would have no effect.
	requestBuffer = 16
)

// Source follows the changes of a file.
type Source struct {
	path          string
	pollInterval  time.Duration
	onUpdate      func([]policyapi.Endpoint, error)
	watchRequests chan bool // arguments of Watch calls
	fetchRequests chan struct{}

	// The fields below are used only by the goroutine of Run.
	watching bool
	failing  bool   // the last delivery was an error
	content  []byte // content of the last delivered list
}

// New returns a source that does not read the file until Run is called. Run's goroutine calls onUpdate with each complete
// list that has changed, or with an error.
func New(path string, pollInterval time.Duration, onUpdate func([]policyapi.Endpoint, error)) *Source {
	return &Source{
		path:          path,
		pollInterval:  max(pollInterval, minPollInterval),
		onUpdate:      onUpdate,
		watchRequests: make(chan bool, requestBuffer),
		fetchRequests: make(chan struct{}, requestBuffer),
	}
}

// Watch starts or stops the delivery of changes. If on is set, the current list is delivered at once. It never blocks and is
// safe for concurrent use.
func (s *Source) Watch(on bool) {
	select {
	case s.watchRequests <- on:
	default:
	}
}

// Fetch requests one delivery of the current list. It never blocks and is safe for concurrent use.
func (s *Source) Fetch() {
	select {
	case s.fetchRequests <- struct{}{}:
	default:
	}
}

// Run serves requests until the context ends. It watches the directory of the file, since a watch of the file would end when a
// rename replaces the file. It also reads the file once per poll interval, which detects changes if the watch fails.
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
		case on := <-s.watchRequests:
			s.watching = on
			if on {
				s.deliver()
			}
		case <-s.fetchRequests:
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

// deliver reads the file and delivers the list or an error.
func (s *Source) deliver() {
	text, err := os.ReadFile(s.path)
	s.deliverContent(text, err)
}

// deliverChange reads the file and delivers the list if it has changed. It delivers an error only if the last delivery was
// not an error.
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

// deliverContent delivers the result of reading the file.
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

// parse returns the list in the content of the file, or the error of reading it.
func (s *Source) parse(text []byte, readErr error) ([]policyapi.Endpoint, error) {
	if readErr != nil {
		return nil, readErr
	}
	if len(text) > maxBytes {
		return nil, errTooLarge(s.path)
	}
	return Parse(text)
}
