package launcher

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// WebServer is a role that serves HTTP at one address.
type WebServer struct {
	address string
	group   *Group
	linger  time.Duration
	server  *http.Server
	closing atomic.Bool
}

// NewWebServer returns a role that serves handler at address. When it stops it goes on for linger, asking callers to
// connect elsewhere, and then ends what is in flight.
func NewWebServer(address string, handler http.Handler, linger time.Duration, group *Group) *WebServer {
	w := &WebServer{address: address, group: group, linger: linger}
	w.server = &http.Server{Handler: w.closeWhenStopping(handler), ReadHeaderTimeout: readHeaderTimeout}
	return w
}

// Stopping reports whether the role has been told to stop.
func (w *WebServer) Stopping() bool { return w.closing.Load() }

func (w *WebServer) closeWhenStopping(next http.Handler) http.Handler {
	return http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		if w.closing.Load() {
			out.Header().Set("Connection", "close")
		}
		next.ServeHTTP(out, r)
	})
}

// Start listens and serves.
func (w *WebServer) Start(context.Context) error {
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		return fmt.Errorf("listen for HTTP: %w", err)
	}
	w.group.Run("web server "+w.address, func(context.Context) error { return serveHTTP(w.server, listener) })
	return nil
}

// Stop drains the server.
func (w *WebServer) Stop(ctx context.Context) error {
	w.closing.Store(true)
	select {
	case <-time.After(w.linger):
	case <-ctx.Done():
	}
	err := w.server.Shutdown(ctx)
	w.group.Stop()
	if err != nil {
		return fmt.Errorf("calls were still in flight: %w", err)
	}
	return nil
}
