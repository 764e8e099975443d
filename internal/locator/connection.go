package locator

import (
	"google.golang.org/grpc"

	"github.com/lagoonmill/lagoonmill/internal/messenger"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

// idleTimeout is the time after which an unused connection is replaced. It may have stopped working without an error, and
// a call would only learn so from its timeout, once for each address.
const idleTimeout = 2 * timekeeper.Second

// connection is a connection to one address. The locator's mu guards the fields below conn.
type connection struct {
	conn *grpc.ClientConn

	calls    int // in flight
	lastUsed timekeeper.Millis
}

// acquire returns the connection to address for a call. It dials on first use, and instead of a connection that was idle
// for long. The caller releases it.
func (l *Locator) acquire(address string) (*connection, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	if c := l.conns[address]; c != nil && c.calls == 0 && now-c.lastUsed > idleTimeout {
		l.drop(address)
	}
	c := l.conns[address]
	if c == nil {
		conn, err := messenger.Dial(address)
		if err != nil {
			return nil, err
		}
		c = &connection{conn: conn}
		l.conns[address] = c
	}
	c.calls++
	c.lastUsed = now
	return c, nil
}

func (l *Locator) release(c *connection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.calls--
	c.lastUsed = l.clock.Now()
}

// drop closes the connection to address. The caller holds mu.
func (l *Locator) drop(address string) {
	_ = l.conns[address].conn.Close()
	delete(l.conns, address)
}
