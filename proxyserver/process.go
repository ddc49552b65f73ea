package proxyserver

import (
	"fmt"
	"os"
)

// residentKB returns the resident memory of the process in KiB; 0 where the system does not say.
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

// openDescriptors returns how many descriptors the process has open; 0 where the system does not say.
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
