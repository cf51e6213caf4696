package soak

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

// mode is what a proxy does with a connection's bytes.
type mode int

const (
	pass mode = iota
	// refuse closes connections at once.
	refuse
	// silent keeps connections open and passes nothing.
	silent
	// oneWay passes requests and no answers.
	oneWay
	// slow passes answers late.
	slow
	modes
)

const slowBy = 150 * time.Millisecond

// proxy stands between a daemon and the store.
type proxy struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	mode     mode
	conns    map[net.Conn]struct{}
}

func newProxy(t *testing.T, target string) *proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{listener: l, target: target, conns: map[net.Conn]struct{}{}}
	go p.accept()
	t.Cleanup(func() { _ = l.Close(); p.set(refuse) })
	return p
}

func (p *proxy) current() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// set changes the mode of open and of new connections.
func (p *proxy) set(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m == refuse {
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
		if p.current() == refuse {
			_ = c.Close()
			continue
		}
		go p.serve(c)
	}
}

func (p *proxy) serve(c net.Conn) {
	defer c.Close()
	up, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer up.Close()
	p.mu.Lock()
	p.conns[c] = struct{}{}
	p.mu.Unlock()
	defer func() { p.mu.Lock(); delete(p.conns, c); p.mu.Unlock() }()
	go p.copy(up, c, false)
	p.copy(c, up, true)
}

// copy passes bytes in one direction; a connection that was silenced stays so.
func (p *proxy) copy(to, from net.Conn, answers bool) {
	defer to.Close()
	buf := make([]byte, 32<<10)
	dead := false
	for {
		n, err := from.Read(buf)
		m := p.current()
		dead = dead || m == silent || m == oneWay && answers
		if m == slow && answers {
			time.Sleep(slowBy)
		}
		if n > 0 && !dead {
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			if err != io.EOF || !dead {
				return
			}
			return
		}
	}
}
