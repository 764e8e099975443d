// Lagoonmill-standin simulates a backend server or a worker of the platform, for demonstrations and tests.
package main

import (
	"os"

	"github.com/lagoonmill/lagoonmill/internal/commander"
)

func main() {
	os.Exit(commander.Simulator(os.Args))
}
