package mtfaultproxy

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// Mode is how a proxy treats the bytes of its connections.
type Mode int

const (
	// Forward forwards all bytes at once.
	Forward Mode = iota
	// Delay forwards all bytes after forwardDelay.
	Delay
	// Stall withholds all bytes, and new connections too, until the mode changes.
	Stall
	// StallAnswers withholds the bytes that come from the server until the mode changes.
	StallAnswers
)

// Cut is how a proxy treats the connections of one caller.
type Cut int

const (
	// NoCut forwards them.
	NoCut Cut = iota
	// CutReset resets open and new connections.
	CutReset
	// CutSilent withholds all bytes of open and new connections until the cut ends.
	CutSilent
	// CutNew resets new connections and forwards open ones.
	CutNew
)

const (
	// forwardDelay is the time that Delay adds in each direction.
	forwardDelay = 40 * time.Millisecond
	// stallPollInterval is the time between two checks of the mode while bytes are withheld.
	stallPollInterval = 5 * time.Millisecond
	// bufferBytes is the most that is forwarded at once.
	bufferBytes = 32 << 10
)

// Proxy forwards connections to one server. No other lock is taken while its mutex is held.
type Proxy struct {
	listener net.Listener
	server   string

	mu   sync.Mutex
	mode Mode
	// cuts contains the cuts of callers by their IP addresses.
	cuts    map[string]Cut
	tunnels map[*tunnel]bool
}

// tunnel joins a connection from a caller with one to the server.
type tunnel struct {
	proxy *Proxy
	// callerIP is the IP address of the caller.
	callerIP string
	caller   net.Conn
	server   net.Conn
	// blackholed is set when nothing more is forwarded, with neither side closed.
	blackholed bool
}

// NewProxy listens at an address and forwards connections to a server.
func NewProxy(address, server string) (*Proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	proxy := &Proxy{
		listener: listener,
		server:   server,
		cuts:     map[string]Cut{},
		tunnels:  map[*tunnel]bool{},
	}
	go proxy.acceptConnections()
	return proxy, nil
}

// Address returns the host and port at which the proxy listens.
func (p *Proxy) Address() string {
	return p.listener.Addr().String()
}

// SetMode changes the mode, for open connections too.
func (p *Proxy) SetMode(mode Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
}

// SetCut changes how the connections of a caller with an IP address are treated, for open connections too.
func (p *Proxy) SetCut(ip string, cut Cut) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cuts[ip] = cut
	for t := range p.tunnels {
		if t.callerIP == ip && cut == CutReset {
			t.close(true)
		}
	}
}

// isNewConnectionReset reports whether a new connection of a caller is reset.
func (p *Proxy) isNewConnectionReset(ip string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cuts[ip] == CutReset || p.cuts[ip] == CutNew
}

// ResetConnections ends all open connections with a TCP reset.
func (p *Proxy) ResetConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for t := range p.tunnels {
		t.close(true)
	}
}

// BlackholeConnections stops forwarding on all open connections for good and leaves them open; new connections are forwarded.
func (p *Proxy) BlackholeConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for t := range p.tunnels {
		t.blackholed = true
	}
}

// Close stops listening and resets all open connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.ResetConnections()
}

func (p *Proxy) acceptConnections() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.handleConnection(conn)
	}
}

func (p *Proxy) handleConnection(caller net.Conn) {
	ip, _, _ := net.SplitHostPort(caller.RemoteAddr().String())
	t := &tunnel{
		proxy:    p,
		callerIP: ip,
		caller:   caller,
	}
	if p.isNewConnectionReset(ip) {
		t.reset(caller)
		return
	}
	for t.isStalled(false) {
		time.Sleep(stallPollInterval)
	}
	server, err := net.Dial("tcp", p.server)
	if err != nil {
		t.reset(caller)
		return
	}
	t.server = server
	p.mu.Lock()
	p.tunnels[t] = true
	p.mu.Unlock()
	go t.pump(caller, server, false)
	t.pump(server, caller, true)
	p.mu.Lock()
	delete(p.tunnels, t)
	p.mu.Unlock()
}

// isStalled reports whether bytes of a direction are withheld now.
func (t *tunnel) isStalled(fromServer bool) bool {
	t.proxy.mu.Lock()
	defer t.proxy.mu.Unlock()
	return t.blackholed || t.proxy.mode == Stall || t.proxy.cuts[t.callerIP] == CutSilent || fromServer && t.proxy.mode == StallAnswers
}

func (t *tunnel) isDelayed() bool {
	t.proxy.mu.Lock()
	defer t.proxy.mu.Unlock()
	return t.proxy.mode == Delay
}

// pump forwards the bytes that come from one side; the end of the stream is delayed and withheld like bytes.
func (t *tunnel) pump(from, to net.Conn, fromServer bool) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		for t.isStalled(fromServer) {
			if t.isClosed(to) {
				return
			}
			time.Sleep(stallPollInterval)
		}
		if t.isDelayed() {
			time.Sleep(forwardDelay)
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				t.close(true)
				return
			}
		}
		if err != nil {
			// A reset is passed on as one: an orderly end would make a broken response look complete.
			t.close(!errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed))
			return
		}
	}
}

// isClosed reports whether the proxy has closed a side.
func (t *tunnel) isClosed(side net.Conn) bool {
	return side.SetDeadline(time.Time{}) != nil
}

func (t *tunnel) reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// close closes both sides, with a TCP reset or in order.
func (t *tunnel) close(reset bool) {
	if reset {
		t.reset(t.caller)
		t.reset(t.server)
		return
	}
	_ = t.caller.Close()
	_ = t.server.Close()
}
