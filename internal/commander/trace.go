package commander

import (
	"strconv"

	"github.com/urfave/cli/v3"
)

func itoa(n int) string { return strconv.Itoa(n) }

func traceCommand() *cli.Command {
	return &cli.Command{Name: "trace", Usage: "recorded and made traces of the scheduler's inputs"}
}
