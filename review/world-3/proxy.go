package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// Proxy forwards connections to an address.
type Proxy struct {
	addr, target string

	mu    sync.Mutex
	mode  string // "" forwards; "silent" passes nothing on; "reset" closes connections
	conns map[net.Conn]bool
	delay time.Duration
}

func newProxy(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{addr: l.Addr().String(), target: target, conns: map[net.Conn]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.forward(c)
		}
	}()
	return p, nil
}

// set changes the mode. Connections that were silent are closed once it ends.
func (p *Proxy) set(mode string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	was := p.mode
	p.mode = mode
	if mode == "reset" || was == "silent" {
		for c := range p.conns {
			_ = c.Close()
		}
	}
}

func (p *Proxy) state() (string, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode, p.delay
}

func (p *Proxy) forward(c net.Conn) {
	defer c.Close()
	if mode, _ := p.state(); mode == "reset" {
		return
	}
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer server.Close()
	p.mu.Lock()
	p.conns[c], p.conns[server] = true, true
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.conns, c)
		delete(p.conns, server)
		p.mu.Unlock()
	}()
	done := make(chan struct{}, 2)
	pass := func(to, from net.Conn) {
		defer func() { done <- struct{}{} }()
		buffer := make([]byte, 32<<10)
		for {
			n, err := from.Read(buffer)
			mode, delay := p.state()
			if delay > 0 {
				time.Sleep(delay)
			}
			if mode == "silent" {
				if err != nil {
					return
				}
				continue // lost
			}
			if n > 0 {
				if _, err := to.Write(buffer[:n]); err != nil {
					return
				}
			}
			if err == io.EOF || err != nil {
				return
			}
		}
	}
	go pass(server, c)
	go pass(c, server)
	<-done
}
