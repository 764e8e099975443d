package commander

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/lagoonmill/lagoonmill/internal/caller"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

// requestResult is the outcome of a request and the response.
type requestResult struct {
	Outcome string `json:"outcome"`
	Status  int    `json:"status"`
	Body    string `json:"body"`
}

func requestsCommand() *cli.Command {
	return &cli.Command{
		Name: "requests", Usage: "requests to backend servers",
		Commands: []*cli.Command{{
			Name: "send", Usage: "send a request and print the complete response", ArgsUsage: "SERVICE PATH",
			Description: example("lagoonmill requests send booking /fitters --method POST --body '{\"flat\": 7}' --key ticket-7"),
			Flags: []cli.Flag{
				&cli.StringFlag{Name: "method", Value: http.MethodGet},
				&cli.StringFlag{Name: "body"},
				&cli.StringFlag{Name: "class", Value: "normal", Usage: "urgent, normal or batch"},
				&cli.StringFlag{Name: "key", Usage: "an idempotency key: the request runs at most once; use the same key in a retry"},
				&cli.DurationFlag{Name: "deadline", Value: 30 * time.Second, Usage: "the longest wait for the response"},
			},
			Action: withClient(sendRequest),
		}},
	}
}

func sendRequest(ctx context.Context, c *cli.Command, api *apiClient) error {
	if c.Args().Len() != 2 || !strings.HasPrefix(c.Args().Get(1), "/") {
		return usageError("want two arguments, SERVICE and a PATH that begins with /")
	}
	header := http.Header{}
	header.Set(caller.HeaderClass, c.String("class"))
	header.Set(caller.HeaderDeadline, strconv.FormatInt(int64(timekeeper.FromDuration(c.Duration("deadline"))), 10))
	if key := c.String("key"); key != "" {
		header.Set(caller.HeaderKey, key)
		header.Set(caller.HeaderRepeatable, "no")
	}
	result, err := api.send(ctx, c.String("method"), "/r/"+c.Args().Get(0)+c.Args().Get(1), header, c.String("body"))
	if err != nil {
		return err
	}
	if c.String("output") == "json" {
		if err := printResult(c, result, nil); err != nil {
			return err
		}
	} else {
		_, _ = fmt.Fprintln(os.Stdout, result.Body)
	}
	switch result.Outcome {
	case caller.OutcomeFinished:
		return nil
	case caller.OutcomeUnknown, caller.OutcomeRunning, "":
		return &exitError{ExitUnknown, fmt.Errorf("outcome %s", result.Outcome)}
	default:
		return &exitError{ExitNotFinished, fmt.Errorf("outcome %s", result.Outcome)}
	}
}

// send sends a request once, to the first entry. It does not retry, because the request may have run; the user decides
// whether to send it again.
func (a *apiClient) send(ctx context.Context, method, path string, header http.Header, body string) (requestResult, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+a.servers[0]+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return requestResult{}, usageError("create request: %w", err)
	}
	req.Header = header
	req.Header.Set("Authorization", "Bearer "+a.token)
	resp, err := a.httpClient.Do(req)
	if err != nil {
		return requestResult{}, &exitError{ExitUnknown, fmt.Errorf("send request: %w", err)}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return requestResult{}, &exitError{ExitUnknown, fmt.Errorf("response truncated: %w", err)}
	}
	return requestResult{resp.Header.Get(caller.HeaderOutcome), resp.StatusCode, string(data)}, nil
}
