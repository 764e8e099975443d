package launcher

import (
	"context"
	"fmt"
	"net"
	"net/http"

	"github.com/gorilla/mux"

	"github.com/lagoonmill/lagoonmill/internal/agent"
	"github.com/lagoonmill/lagoonmill/internal/configurer"
	"github.com/lagoonmill/lagoonmill/internal/healthreporter"
	"github.com/lagoonmill/lagoonmill/internal/logger"
)

// agentRole is the role that runs the agent of one host and serves requests that entries forward.
type agentRole struct {
	settings configurer.Settings
	log      logger.Logger
	group    *Group
	agent    *agent.Agent
	http     *http.Server
}

func (a *agentRole) Start(context.Context) error {
	listener, err := net.Listen("tcp", a.settings.AgentAddress)
	if err != nil {
		return fmt.Errorf("listen for entries: %w", err)
	}
	a.agent = agent.New(agent.Config{
		ID: a.settings.Name, Address: a.settings.AgentAddress, Zone: a.settings.Zone, Entries: a.settings.Entries,
		Drain: a.settings.DrainTimeout,
	}, a.log)
	routes := mux.NewRouter().UseEncodedPath().SkipClean(true)
	healthreporter.Register(routes, func() error { return nil })
	a.agent.Proxy().Register(routes)
	a.http = &http.Server{Handler: routes, ReadHeaderTimeout: readHeaderTimeout}
	a.group.Run("agent", a.agent.Run)
	a.group.Run("request server", func(context.Context) error { return serveHTTP(a.http, listener) })
	return nil
}

// Stop refuses new requests, drains the worker and waits for requests in flight, each for at most the drain time.
func (a *agentRole) Stop(ctx context.Context) error {
	a.agent.Shutdown(ctx)
	drain, cancel := context.WithTimeout(ctx, a.settings.DrainTimeout)
	defer cancel()
	err := a.http.Shutdown(drain)
	a.group.Stop()
	if err != nil {
		return fmt.Errorf("requests were still in flight after the drain time: %w", err)
	}
	return nil
}
