package emulator

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"porthub/client"
	"porthub/coordinator"
	"porthub/xds"
)

// The timing of a gateway's link to the coordinator.
const (
	linkTick         = 10 * time.Millisecond
	linkTimeout      = 2 * time.Second
	coordinatorDial  = time.Second
	minLinkBackoff   = 200 * time.Millisecond
	maxLinkBackoff   = 2 * time.Second
	filePollInterval = 10 * time.Millisecond
	longPollTimeout  = 5 * time.Second
)

var errIsolated = errors.New("coordinator unreachable (injected fault)")

// runLink maintains the link to the coordinator, and starts the goroutine that reads files if the gateway does not poll. It
// returns when the process ends.
func (g *Gateway) runLink(ctx context.Context) {
	acks := &ackQueue{}
	if !g.Polls {
		g.goroutines.Go(func() { g.readFiles(ctx, acks) })
	}
	link := &gatewayLink{gateway: g, acks: acks, stopPolls: func() {}, nextDial: time.Now(), nextReport: time.Now().Add(g.ReportPeriod)}
	defer link.disconnect()
	ticker := time.NewTicker(linkTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			link.tick(ctx)
		}
	}
}

// gatewayLink is a gateway's link to the coordinator. Only the goroutine of runLink uses it.
type gatewayLink struct {
	gateway    *Gateway
	acks       *ackQueue
	link       *client.Link // nil while disconnected
	connected  bool         // the audit log has an open connection of this gateway
	stopPolls  func()
	backoff    time.Duration
	nextDial   time.Time
	nextReport time.Time
}

// tick dials if there is no link, and otherwise sends the acknowledgements and the report that are due.
func (l *gatewayLink) tick(ctx context.Context) {
	if l.link == nil && time.Now().After(l.nextDial) {
		l.connect(ctx)
	}
	if l.link == nil {
		l.acks.clear()
		return
	}
	g := l.gateway
	g.mu.Lock()
	g.lastContact = l.link.LastResponse()
	fault := g.ackFault
	g.mu.Unlock()
	l.acknowledge(ctx, fault)
	if l.link != nil && time.Now().After(l.nextReport) {
		l.report(ctx)
	}
}

// connect dials once. Each failure increases the delay before the next attempt.
func (l *gatewayLink) connect(ctx context.Context) {
	g := l.gateway
	if addr := g.Coordinator(); addr != "" {
		node := xds.Node{Name: g.Name, Zone: g.Zone, UsualRate: g.Weight, Polls: g.Polls}
		l.link = client.NewLink(client.Options{Node: node, Coordinator: addr, Timeout: linkTimeout, Dial: g.dialCoordinator})
		l.join(ctx, addr)
	}
	if l.link == nil {
		l.backoff = min(maxLinkBackoff, max(minLinkBackoff, 2*l.backoff))
		l.nextDial = time.Now().Add(time.Duration(float64(l.backoff) * (0.5 + g.randomFloat())))
	}
}

// join joins the coordinator and starts polling if the gateway polls.
func (l *gatewayLink) join(ctx context.Context, addr string) {
	g := l.gateway
	// Grace periods begin with the connection. Recording the time before the join makes the audit stricter, never laxer.
	at := g.world.Now()
	if err := l.link.Join(ctx, g.currentTables()); err != nil {
		l.disconnect()
		return
	}
	l.connected = true
	l.backoff = 0
	g.world.Log.GatewayConnected(at, g.Name, true)
	if g.Polls {
		l.stopPolls = g.startPolls(ctx, addr, l.acks)
	}
}

// disconnect closes the link and stops the polls.
func (l *gatewayLink) disconnect() {
	if l.connected {
		l.connected = false
		l.gateway.world.Log.GatewayConnected(l.gateway.world.Now(), l.gateway.Name, false)
	}
	l.stopPolls()
	if l.link != nil {
		l.link.Close()
		l.link = nil
	}
}

// acknowledge sends the pending acknowledgements, unless an injected fault withholds or delays them.
func (l *gatewayLink) acknowledge(ctx context.Context, fault ackFault) {
	g := l.gateway
	for l.link != nil {
		update, ok := l.acks.first()
		if !ok || fault.withhold || time.Since(update.Written) < fault.delay {
			return
		}
		l.acks.removeFirst()
		err := l.link.Acknowledge(ctx, update, g.currentTables())
		if err != nil && !errors.Is(err, client.ErrRejected) {
			l.disconnect()
			continue
		}
		if update.Err == nil {
			g.world.Log.VersionAcknowledged(g.world.Now(), g.Name, update.Document.Version)
		}
	}
}

// report sends a load report and schedules the next one.
func (l *gatewayLink) report(ctx context.Context) {
	g := l.gateway
	l.nextReport = l.nextReport.Add(g.ReportPeriod)
	if time.Now().After(l.nextReport) {
		l.nextReport = time.Now().Add(g.ReportPeriod)
	}
	interval, classes := g.collectReport()
	if _, err := l.link.Report(ctx, interval, classes); err != nil && !errors.Is(err, client.ErrRejected) {
		l.disconnect()
	}
}

// dialCoordinator dials the coordinator unless the gateway is isolated. Isolating the gateway later closes the connection.
func (g *Gateway) dialCoordinator(ctx context.Context, network, addr string) (net.Conn, error) {
	g.mu.Lock()
	isolated := g.isolated
	g.mu.Unlock()
	if isolated {
		return nil, errIsolated
	}
	conn, err := (&net.Dialer{Timeout: coordinatorDial}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.isolated || !g.running {
		_ = conn.Close()
		return nil, errIsolated
	}
	tracked := &trackedConn{Conn: conn, onClose: g.untrackConnection}
	g.conns[tracked] = true
	return tracked, nil
}

func (g *Gateway) untrackConnection(c net.Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.conns, c)
}

// trackedConn calls onClose when it is closed for the first time. The call runs on a goroutine of its own, as onClose takes
// the gateway's lock and Close may be called with the lock held.
type trackedConn struct {
	net.Conn
	once    sync.Once
	onClose func(net.Conn)
}

func (t *trackedConn) Close() error {
	err := t.Conn.Close()
	t.once.Do(func() { go t.onClose(t) })
	return err
}

// readFiles reads and applies the gateway's table files until the process ends. It runs independently of the link, so that a
// coordinator that hangs does not keep the gateway from applying its tables.
func (g *Gateway) readFiles(ctx context.Context, acks *ackQueue) {
	reader := client.NewReader(g.TableDir, g.Name)
	reader.ChunkSize = g.ReadChunk
	reader.ChunkDelay = g.ReadPause
	reader.Poll() // skips the files for an earlier process; the coordinator writes new ones
	for ctx.Err() == nil {
		for _, update := range reader.Poll() {
			g.applyUpdate(update)
			acks.add(update)
		}
		time.Sleep(filePollInterval)
	}
}

// startPolls polls for endpoints and for routes, each on a goroutine of its own, until stop is called. The function stop
// waits for both goroutines. Documents are applied when they arrive, as with files.
func (g *Gateway) startPolls(ctx context.Context, addr string, acks *ackQueue) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	node := xds.Node{Name: g.Name, Zone: g.Zone, UsualRate: g.Weight}
	poller := client.NewPoller(client.Options{Node: node, Coordinator: addr, Dial: g.dialCoordinator}, g.Classes, longPollTimeout)
	receive := func(update client.Update) {
		g.applyUpdate(update)
		acks.add(update)
	}
	var polls sync.WaitGroup
	for _, document := range []coordinator.Document{coordinator.EndpointsDocument, coordinator.RoutesDocument} {
		polls.Go(func() { poller.Follow(ctx, document, g.currentTables, receive) })
	}
	return func() {
		cancel()
		polls.Wait()
		poller.Close()
	}
}

// ackQueue holds the updates with a pending acknowledgement. It is safe for concurrent use.
type ackQueue struct {
	mu      sync.Mutex // guards updates
	updates []client.Update
}

func (q *ackQueue) add(u client.Update) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.updates = append(q.updates, u)
}

func (q *ackQueue) first() (update client.Update, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.updates) == 0 {
		return client.Update{}, false
	}
	return q.updates[0], true
}

func (q *ackQueue) removeFirst() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.updates) > 0 {
		q.updates = q.updates[1:]
	}
}

func (q *ackQueue) clear() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.updates = nil
}
