package commander

import (
	"context"
	"net/http"
	"net/url"

	"github.com/urfave/cli/v3"

	"github.com/lagoonmill/lagoonmill/internal/controller"
	"github.com/lagoonmill/lagoonmill/internal/operator"
	"github.com/lagoonmill/lagoonmill/internal/registrar"
)

func clusterCommand() *cli.Command {
	return &cli.Command{
		Name: "cluster", Usage: "control replicas, entries and workers",
		Commands: []*cli.Command{
			{
				Name: "status", Usage: "show control replicas and entries", Description: example("lagoonmill cluster status"),
				Action: withClient(clusterStatus),
			},
			{
				Name: "add", Usage: "allow a control replica to join at an address", ArgsUsage: "IP:PORT",
				Description: example("lagoonmill cluster add 10.0.0.4:7001"), Action: withClient(addReplica),
			},
			{
				Name: "remove", Usage: "remove the control replica at an address", ArgsUsage: "IP:PORT",
				Description: example("lagoonmill cluster remove 10.0.0.4:7001"), Action: withClient(removeReplica),
			},
			{
				Name: "drain", Usage: "stop placing new gang members on a worker, or undo this", ArgsUsage: "WORKER",
				Description: example("lagoonmill cluster drain w3 --evict"),
				Flags: []cli.Flag{
					&cli.BoolFlag{Name: "evict", Usage: "also evict the jobs on the worker that can be restarted elsewhere"},
					&cli.BoolFlag{Name: "undo", Usage: "place members on the worker again"},
				},
				Action: withClient(drainWorker),
			},
		},
	}
}

func clusterStatus(ctx context.Context, c *cli.Command, api *apiClient) error {
	var s controller.StatusResponse
	if err := api.get(ctx, "/v1/cluster", &s); err != nil {
		return err
	}
	t := &table{header: []string{"KIND", "NAME", "STATE", "DETAIL"}}
	for _, m := range s.Members {
		state := "learner"
		if m.Voter {
			state = "voter"
		}
		if m.Address == s.Self {
			state = s.Role
		}
		t.add("replica", m.Address, state, m.ID)
	}
	for _, e := range s.Entries {
		t.add("entry", e.Entry, "silent "+e.SinceReport.String(), "agents "+itoa(e.Agents)+", revision "+itoa(int(e.AckedRevision)))
	}
	return printResult(c, s, t)
}

func addReplica(ctx context.Context, c *cli.Command, api *apiClient) error {
	address, err := argument(c, "replica's control address")
	if err != nil {
		return err
	}
	seat := operator.Seat{Address: address}
	if err := api.mutate(ctx, http.MethodPost, "/v1/cluster/seats", nil, seat, nil); err != nil {
		return err
	}
	t := &table{header: []string{"SEAT"}}
	t.add(address)
	return printResult(c, seat, t)
}

func removeReplica(ctx context.Context, c *cli.Command, api *apiClient) error {
	address, err := argument(c, "replica's control address")
	if err != nil {
		return err
	}
	if err := api.mutate(ctx, http.MethodDelete, "/v1/cluster/seats/"+url.PathEscape(address), nil, nil, nil); err != nil {
		return err
	}
	t := &table{header: []string{"REMOVED"}}
	t.add(address)
	return printResult(c, operator.Seat{Address: address}, t)
}

func drainWorker(ctx context.Context, c *cli.Command, api *apiClient) error {
	worker, err := argument(c, "worker's name")
	if err != nil {
		return err
	}
	d := operator.Drain{Drained: !c.Bool("undo"), Evict: c.Bool("evict")}
	var a registrar.Answer
	if err := api.mutate(ctx, http.MethodPost, "/v1/workers/"+url.PathEscape(worker)+"/drain", nil, d, &a); err != nil {
		return err
	}
	t := &table{header: []string{"WORKER", "DRAINED"}}
	t.add(worker, d.Drained)
	return printResult(c, a, t)
}
