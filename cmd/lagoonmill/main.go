// Lagoonmill is the command-line tool of operators and callers; --help lists its commands.
package main

import (
	"os"

	"github.com/lagoonmill/lagoonmill/internal/commander"
)

func main() {
	os.Exit(commander.Tool(os.Args))
}
