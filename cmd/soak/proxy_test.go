package soak

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

// proxyMode is how a proxy handles the connections and bytes it receives.
type proxyMode int

const (
	forward proxyMode = iota
	// refuseConns closes open connections, and new ones at once.
	refuseConns
	// blackhole keeps connections open and forwards nothing.
	blackhole
	// dropResponses forwards requests and drops responses.
	dropResponses
	// delayResponses forwards responses late, by responseDelay.
	delayResponses
	numModes
)

const responseDelay = 150 * time.Millisecond

// proxy is a TCP proxy between a daemon and the store.
type proxy struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	mode     proxyMode
	conns    map[net.Conn]struct{}
}

func newProxy(t *testing.T, target string) *proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{listener: l, target: target, conns: map[net.Conn]struct{}{}}
	go p.accept()
	t.Cleanup(func() { _ = l.Close(); p.setMode(refuseConns) })
	return p
}

func (p *proxy) currentMode() proxyMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// setMode changes the mode of open and of new connections.
func (p *proxy) setMode(m proxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m == refuseConns {
		for c := range p.conns {
			_ = c.Close()
		}
	}
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.currentMode() == refuseConns {
			_ = c.Close()
			continue
		}
		go p.serve(c)
	}
}

func (p *proxy) serve(conn net.Conn) {
	defer conn.Close()
	upstream, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer upstream.Close()
	p.mu.Lock()
	p.conns[conn] = struct{}{}
	p.mu.Unlock()
	defer func() { p.mu.Lock(); delete(p.conns, conn); p.mu.Unlock() }()
	go p.copy(upstream, conn, false)
	p.copy(conn, upstream, true)
}

// copy copies bytes in one direction. Once a mode has dropped bytes of a connection, its byte stream has a gap, and the
// connection stays blocked in that direction.
func (p *proxy) copy(to, from net.Conn, responses bool) {
	defer to.Close()
	buf := make([]byte, 32<<10)
	blocked := false
	for {
		n, err := from.Read(buf)
		mode := p.currentMode()
		blocked = blocked || mode == blackhole || mode == dropResponses && responses
		if mode == delayResponses && responses {
			time.Sleep(responseDelay)
		}
		if n > 0 && !blocked {
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			if err != io.EOF || !blocked {
				return
			}
			return
		}
	}
}
