package commander

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/lagoonmill/lagoonmill/internal/configurer"
	"github.com/lagoonmill/lagoonmill/internal/launcher"
)

// Exit codes of the programs.
const (
	ExitOK          = 0
	ExitFailed      = 1 // any failure without a code of its own
	ExitUsage       = 2 // a flag, setting or document is invalid; nothing was done
	ExitRefused     = 3 // the change was refused or conflicts with another one
	ExitNotFound    = 4
	ExitUnavailable = 5 // no entry could serve the call
	ExitNotFinished = 6 // the job or request ended without finishing
	ExitUnknown     = 7 // the outcome of the job or request cannot be determined
)

// exitError carries the exit code of a failed command.
type exitError struct {
	code  int
	cause error
}

func (e *exitError) Error() string { return e.cause.Error() }

func (e *exitError) Unwrap() error { return e.cause }

func usageError(format string, args ...any) error {
	return &exitError{ExitUsage, fmt.Errorf(format, args...)}
}

// execute runs a command line and returns its exit code. It prints errors to standard error.
func execute(root *cli.Command, args []string) int {
	root.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	markUsageErrors(root)
	err := root.Run(context.Background(), args)
	if err == nil {
		return ExitOK
	}
	_, _ = fmt.Fprintln(os.Stderr, root.Name+": "+err.Error())
	var exit *exitError
	if errors.As(err, &exit) {
		return exit.code
	}
	return ExitFailed
}

// markUsageErrors makes c and its subcommands return parse errors with the exit code ExitUsage.
func markUsageErrors(c *cli.Command) {
	c.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		return &exitError{ExitUsage, err}
	}
	for _, sub := range c.Commands {
		markUsageErrors(sub)
	}
}

// Daemon runs lagoonmilld, with a subcommand for each platform, and returns its exit code.
func Daemon(args []string, platforms ...PlatformCommand) int {
	code := ExitOK
	root := &cli.Command{
		Name:  "lagoonmilld",
		Usage: "the lagoonmill daemon: control replica, entry and agent",
		Description: "Example:\n   lagoonmilld --roles entry,control --name riga-1 --availability-zone riga-a --data-dir /var/lib/lagoonmill \\\n" +
			"     --control-address 10.0.0.1:7001 --control-seats 10.0.0.1:7001,10.0.0.2:7001,10.0.0.3:7001 \\\n" +
			"     --entry-address 10.0.0.1:7002 --http-address 10.0.0.1:7080 --token-file /etc/lagoonmill/tokens",
		Flags: settingFlags(),
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Present() {
				return usageError("unexpected argument %q", c.Args().First())
			}
			settings, err := configurer.Parse(c.String)
			if err != nil {
				return &exitError{ExitUsage, err}
			}
			code = launcher.Run(settings)
			return nil
		},
	}
	for _, p := range platforms {
		root.Commands = append(root.Commands, p.command(&code))
	}
	if exitCode := execute(root, args); exitCode != ExitOK {
		return exitCode
	}
	return code
}

func settingFlags() []cli.Flag {
	var flags []cli.Flag
	for _, s := range configurer.Table() {
		flags = append(flags, &cli.StringFlag{
			Name: s.Name, Value: s.Default, Usage: s.Help + " Accepts " + s.Accepts + ".", Sources: cli.EnvVars(s.Env()),
		})
	}
	return flags
}
