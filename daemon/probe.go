package daemon

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"porthub/config"
	"porthub/control"
	"porthub/xds"
)

// prober examines backends by a GET; so many at once, so many waiting.
type prober struct {
	cfg   config.Probes
	told  func(control.Probed)
	queue chan control.Backend
	http  *http.Client
	end   context.CancelFunc
}

func newProber(cfg config.Probes, told func(control.Probed)) *prober {
	ctx, end := context.WithCancel(context.Background())
	p := &prober{cfg: cfg, told: told, queue: make(chan control.Backend, 1024), end: end,
		http: &http.Client{Timeout: time.Duration(cfg.Timeout) * time.Microsecond,
			Transport: &http.Transport{DisableKeepAlives: true}}}
	for range cfg.AtOnce {
		go p.work(ctx)
	}
	return p
}

func (p *prober) close() { p.end() }

func (p *prober) probe(b control.Backend) {
	select {
	case p.queue <- b:
	default:
		go p.told(control.Probed{Backend: b, Code: "QueueFull"})
	}
}

func (p *prober) work(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case b := <-p.queue:
			p.told(p.one(ctx, b))
		}
	}
}

func (p *prober) one(ctx context.Context, b control.Backend) control.Probed {
	start := time.Now()
	found := control.Probed{Backend: b}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(b)+p.cfg.Path, nil)
	if err != nil {
		found.Code = "Failed"
		return found
	}
	res, err := p.http.Do(req)
	found.Took = control.Micros(time.Since(start).Microseconds())
	if err != nil {
		found.Code = probeCode(err)
		return found
	}
	defer res.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(res.Body, 1<<16))
	found.Loads = loads(xds.ReadOrca(res.Header.Get(xds.OrcaHeader)))
	switch {
	case res.StatusCode < 300:
		found.OK, found.Code = true, "Ok"
	case res.StatusCode == http.StatusServiceUnavailable:
		found.Code = "QueueFull"
	default:
		found.Code = "Failed"
	}
	return found
}

func probeCode(err error) string {
	var timeout net.Error
	switch {
	case errors.As(err, &timeout) && timeout.Timeout():
		return "TimedOut"
	case errors.Is(err, syscall.ECONNREFUSED):
		return "ConnectError"
	default:
		return "ResetByPeer"
	}
}

// loads turns figures by their ORCA names into the module's.
func loads(by map[string]float64) control.Loads {
	var out control.Loads
	for name, v := range by {
		if known, has := config.LoadNames[name]; has {
			if out == nil {
				out = control.Loads{}
			}
			out[known] = v
		}
	}
	return out
}
