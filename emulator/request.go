package emulator

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"porthub/xds"
)

// The headers that describe a request and its outcome.
const (
	headerRequest  = "x-req"        // number of the request
	headerAttempt  = "x-client-try" // number of the client's attempt, from 0
	headerWork     = "x-work-us"    // core time that the request takes at full capacity, in microseconds
	headerGateway  = "x-gateway"    // name of the gateway that forwards the request
	headerRejected = "x-denied"     // set on a response if the request was rejected before it was executed
)

// errRejected reports that a request was certainly not executed.
var errRejected = errors.New("request rejected before it was executed")

// workRequest holds the properties of a request that its headers carry.
type workRequest struct {
	class         string
	number        uint64
	clientAttempt int
	work          time.Duration // core time
	gateway       string
}

// readWorkRequest reads the headers. A missing or malformed value is zero.
func readWorkRequest(r *http.Request) workRequest {
	number, _ := strconv.ParseUint(r.Header.Get(headerRequest), 10, 64)
	attempt, _ := strconv.Atoi(r.Header.Get(headerAttempt))
	work, _ := strconv.ParseInt(r.Header.Get(headerWork), 10, 64)
	return workRequest{
		class:         r.Header.Get(xds.ClassHeader),
		number:        number,
		clientAttempt: attempt,
		work:          time.Duration(work) * time.Microsecond,
		gateway:       r.Header.Get(headerGateway),
	}
}

// reject responds that a request was rejected before it was executed.
func reject(w http.ResponseWriter) {
	w.Header().Set(headerRejected, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}
