package planner

import (
	"os"
	"testing"

	"github.com/lagoonmill/lagoonmill/internal/seeder"
)

func TestMain(m *testing.M) {
	seeder.SetDefaults(1, 150)
	os.Exit(m.Run())
}
