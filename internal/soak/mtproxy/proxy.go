package mtproxy

import (
	"net"
	"sync"
	"time"
)

// Mode is how a proxy treats what passes.
type Mode int

// The modes.
const (
	// Pass hands everything on at once.
	Pass Mode = iota
	// Slow hands everything on after slowness.
	Slow
	// Silent holds everything back, and new connections too, until the mode changes.
	Silent
	// OneWay holds back what comes from the server.
	OneWay
)

const (
	// slowness is the added time of one way in Slow.
	slowness = 40 * time.Millisecond
	// look is the time between two looks at the mode while bytes are held back.
	look = 5 * time.Millisecond
	// part is the most that is handed on at once, in bytes.
	part = 32 << 10
)

// Proxy stands before one server; its mutex is a leaf.
type Proxy struct {
	listener net.Listener
	server   string

	mu    sync.Mutex
	mode  Mode
	pairs map[*pair]bool
}

// pair is a connection of a caller with the one to the server.
type pair struct {
	proxy  *Proxy
	caller net.Conn
	server net.Conn
	// forgotten connections pass nothing any more, and nobody is told.
	forgotten bool
}

// NewProxy listens at an address and passes connections on to a server.
func NewProxy(address, server string) (*Proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	proxy := &Proxy{
		listener: listener,
		server:   server,
		pairs:    map[*pair]bool{},
	}
	go proxy.accept()
	return proxy, nil
}

// Address returns where the proxy listens.
func (p *Proxy) Address() string {
	return p.listener.Addr().String()
}

// Set changes the mode.
func (p *Proxy) Set(mode Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
}

// Reset resets all connections.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for pair := range p.pairs {
		pair.close(true)
	}
}

// Forget makes all connections silent for good; new ones pass.
func (p *Proxy) Forget() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for pair := range p.pairs {
		pair.forgotten = true
	}
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.Reset()
}

func (p *Proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.open(conn)
	}
}

func (p *Proxy) open(caller net.Conn) {
	made := &pair{
		proxy:  p,
		caller: caller,
	}
	for made.holds(false) {
		time.Sleep(look)
	}
	server, err := net.Dial("tcp", p.server)
	if err != nil {
		made.reset(caller)
		return
	}
	made.server = server
	p.mu.Lock()
	p.pairs[made] = true
	p.mu.Unlock()
	go made.pump(caller, server, false)
	made.pump(server, caller, true)
	p.mu.Lock()
	delete(p.pairs, made)
	p.mu.Unlock()
}

// holds reports whether bytes of a direction are held back now.
func (p *pair) holds(back bool) bool {
	p.proxy.mu.Lock()
	defer p.proxy.mu.Unlock()
	return p.forgotten || p.proxy.mode == Silent || back && p.proxy.mode == OneWay
}

func (p *pair) isSlow() bool {
	p.proxy.mu.Lock()
	defer p.proxy.mu.Unlock()
	return p.proxy.mode == Slow
}

// pump hands on what comes from one side; the end of a side is handed on like bytes.
func (p *pair) pump(from, to net.Conn, back bool) {
	buffer := make([]byte, part)
	for {
		n, err := from.Read(buffer)
		for p.holds(back) {
			if p.isClosed(to) {
				return
			}
			time.Sleep(look)
		}
		if p.isSlow() {
			time.Sleep(slowness)
		}
		if n > 0 {
			if _, failed := to.Write(buffer[:n]); failed != nil {
				p.close(true)
				return
			}
		}
		if err != nil {
			p.close(false)
			return
		}
	}
}

// isClosed reports whether a side was closed here.
func (p *pair) isClosed(side net.Conn) bool {
	return side.SetDeadline(time.Time{}) != nil
}

func (p *pair) reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// close ends both sides, with a reset or in order.
func (p *pair) close(reset bool) {
	if reset {
		p.reset(p.caller)
		p.reset(p.server)
		return
	}
	_ = p.caller.Close()
	_ = p.server.Close()
}
