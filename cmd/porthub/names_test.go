package main

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"porthub/xds"
)

// While one client connects and polls under ever new names, in a zone that exists or not, other requests are answered, a gateway joins in
// time, and the process stays within its configured memory.
func TestEverNewNamesDoNotDelayOthers(t *testing.T) {
	const period = 3 * time.Second
	for name, zone := range map[string]string{"known zone": "a", "unknown zone": "elsewhere"} {
		t.Run(name, func(t *testing.T) {
			p := startServe(t)
			ctx, cancel := context.WithTimeout(t.Context(), period)
			defer cancel()
			done := make(chan int)
			go func() {
				names := 0
				for ; ctx.Err() == nil; names++ {
					pollOnce(p.addr, fmt.Sprint("new-", names), zone)
				}
				done <- names
			}()
			time.Sleep(period / 3)
			began := time.Now()
			p.connectGateway("gw-sound")
			joined := time.Since(began)
			answers, longest, err := p.answerTimes(ctx)
			names := <-done
			peak := residentPeakMB(t, p.Process.Pid)
			t.Logf("%d names, joined within %s, longest wait %s of %d answers, peak of resident memory %.0f MB", names, joined, longest, answers, peak)
			if err != nil || answers == 0 || longest > serveAnswerTime || joined > serveAnswerTime {
				t.Errorf("error %v, %d answers, the longest after %s, joined within %s; want none, some, at most %s", err, answers, longest, joined, serveAnswerTime)
			}
			if names < 100 || peak > serveMemoryMB {
				t.Errorf("%d names, peak of resident memory %.0f MB; want at least 100, and at most the configured %d MB", names, peak, serveMemoryMB)
			}
		})
	}
}

// pollOnce sends a poll as a new gateway and closes the connection soon after.
func pollOnce(addr, name, zone string) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.(*net.TCPConn).SetLinger(0) // leaves no socket in TIME_WAIT
	node := xds.Node{Name: name, Zone: zone, Polls: true, MaxWait: 20 * time.Second}
	body, err := xds.Encode(xds.NewAcknowledgement(node, xds.EndpointType, "", "", ""))
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", xds.EndpointPath, len(body), body)
	_ = conn.SetReadDeadline(time.Now().Add(2 * time.Millisecond))
	_, _ = conn.Read(make([]byte, 512))
}
