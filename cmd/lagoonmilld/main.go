// Lagoonmilld is the daemon of lagoonmill; --help lists its settings.
package main

import (
	"os"

	"github.com/lagoonmill/lagoonmill/internal/commander"
)

func main() {
	os.Exit(commander.Daemon(os.Args))
}
