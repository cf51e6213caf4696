package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// link is the network link of one machine to the store: a proxy that lets through so many bytes a second towards the
// machine, over all its connections.
type link struct {
	listener net.Listener
	to       string
	rate     float64 // bytes per second

	mu   sync.Mutex
	free time.Time // when the bytes that were let through so far have passed
}

func newLink(to string, rate float64) (*link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &link{listener: l, to: to, rate: rate}
	go k.accept()
	return k, nil
}

func (k *link) address() string { return k.listener.Addr().String() }

func (k *link) accept() {
	for {
		c, err := k.listener.Accept()
		if err != nil {
			return // the case ends
		}
		go k.forward(c)
	}
}

func (k *link) forward(down net.Conn) {
	up, err := net.Dial("tcp", k.to)
	if err != nil {
		_ = down.Close()
		return
	}
	go func() {
		_, _ = io.Copy(up, down) // ends when either side closes
		_ = up.Close()
	}()
	buf := make([]byte, 8<<10)
	for {
		n, err := up.Read(buf)
		if n > 0 {
			k.pass(n)
			if _, werr := down.Write(buf[:n]); werr != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	_ = down.Close()
	_ = up.Close()
}

// pass waits until the link has carried n more bytes.
func (k *link) pass(n int) {
	k.mu.Lock()
	now := time.Now()
	if k.free.Before(now) {
		k.free = now
	}
	k.free = k.free.Add(time.Duration(float64(n) / k.rate * float64(time.Second)))
	wait := k.free.Sub(now)
	k.mu.Unlock()
	time.Sleep(wait)
}
