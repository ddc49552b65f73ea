package emulator

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"porthub/xds"
)

// The headers of a request on its way.
const (
	headerRequest = "x-req"        // its number
	headerAttempt = "x-client-try" // the client's attempt, from 0
	headerWork    = "x-work-us"    // core time that it takes at full capacity, microseconds
	headerGateway = "x-gateway"
	headerDenied  = "x-denied" // of a response: the request was rejected before it ran
)

// errRejected is a response that proves that the request never ran.
var errRejected = errors.New("rejected before it ran")

// workRequest is a request as its headers describe it.
type workRequest struct {
	class         string
	number        uint64
	clientAttempt int
	work          time.Duration // core time
	gateway       string
}

// readWorkRequest reads the headers; what is missing or malformed is zero.
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

// reject responds that a request was rejected before it ran.
func reject(w http.ResponseWriter) {
	w.Header().Set(headerDenied, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}
