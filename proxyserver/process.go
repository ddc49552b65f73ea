package proxyserver

import (
	"fmt"
	"os"
)

// residentKB returns the resident memory of the process in KiB, or 0 if it is not available.
func residentKB() int {
	text, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	var size, pages int
	if _, err := fmt.Sscan(string(text), &size, &pages); err != nil {
		return 0
	}
	return pages * os.Getpagesize() / 1024
}

// openDescriptors returns the number of open file descriptors of the process, or 0 if it is not available.
func openDescriptors() int {
	dir, err := os.Open("/proc/self/fd")
	if err != nil {
		return 0
	}
	defer func() { _ = dir.Close() }()
	names, err := dir.Readdirnames(-1)
	if err != nil {
		return 0
	}
	return len(names)
}
