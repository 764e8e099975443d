package main

import (
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// proxy forwards channels to a target. It can make the open ones silent: they stay open, and nothing passes any more. New
// ones work.
type proxy struct {
	target   string
	listener net.Listener

	mu       sync.Mutex
	channels []*channel
}

type channel struct {
	mu     sync.Mutex
	silent bool
	ends   [2]net.Conn
}

func newProxy(address, target string) (*proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	p := &proxy{target: target, listener: listener}
	go p.serve()
	return p, nil
}

func (p *proxy) serve() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.DialTimeout("tcp", p.target, time.Second)
		if err != nil {
			_ = in.Close()
			continue
		}
		c := &channel{ends: [2]net.Conn{in, out}}
		p.mu.Lock()
		p.channels = append(p.channels, c)
		p.mu.Unlock()
		go c.forward(out, in)
		go c.forward(in, out)
	}
}

// forward copies what arrives until the channel is silent or ends. A silent channel takes bytes and drops them.
func (c *channel) forward(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if c.isSilent() {
			_, _ = io.Copy(io.Discard, from)
			return
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err != nil {
			_ = to.Close()
			_ = from.Close()
			return
		}
	}
}

func (c *channel) isSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent
}

// silence makes all open channels silent for good and returns their number.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.channels {
		c.mu.Lock()
		c.silent = true
		c.mu.Unlock()
	}
	n := len(p.channels)
	p.channels = nil
	return n
}

func (p *proxy) close() { _ = p.listener.Close() }
