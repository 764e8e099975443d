package replicator

import (
	"os"
	"testing"

	"github.com/lagoonmill/lagoonmill/internal/seeder"
)

func TestMain(m *testing.M) {
	seeder.SetDefaults(1, 2000)
	os.Exit(m.Run())
}
