package launcher

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// maxHeaderBytes bounds the header of a request, which log lines repeat in part.
const maxHeaderBytes = 32 << 10

// WebServer is a role that serves HTTP at one address.
type WebServer struct {
	address  string
	group    *Group
	linger   time.Duration
	server   *http.Server
	stopping atomic.Bool
}

// NewWebServer returns a role that serves handler at address. On Stop it serves for another linger and closes each
// connection after its next response, so that callers reconnect elsewhere; then it waits for requests in flight.
func NewWebServer(address string, handler http.Handler, linger time.Duration, group *Group) *WebServer {
	w := &WebServer{address: address, group: group, linger: linger}
	w.server = &http.Server{Handler: w.closeWhenStopping(handler), ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes}
	return w
}

// Stopping reports whether Stop was called.
func (w *WebServer) Stopping() bool { return w.stopping.Load() }

func (w *WebServer) closeWhenStopping(next http.Handler) http.Handler {
	return http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		if w.stopping.Load() {
			out.Header().Set("Connection", "close")
		}
		next.ServeHTTP(out, r)
	})
}

// Start listens at the address and starts to serve.
func (w *WebServer) Start(context.Context) error {
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		return fmt.Errorf("listen for HTTP: %w", err)
	}
	w.group.Run("web server "+w.address, func(context.Context) error { return serveHTTP(w.server, listener) })
	return nil
}

// Stop drains the server as described at NewWebServer. It fails if requests are still in flight when ctx is done.
func (w *WebServer) Stop(ctx context.Context) error {
	w.stopping.Store(true)
	select {
	case <-time.After(w.linger):
	case <-ctx.Done():
	}
	err := w.server.Shutdown(ctx)
	w.group.Stop()
	if err != nil {
		return fmt.Errorf("requests were still in flight at the end of the shutdown: %w", err)
	}
	return nil
}
