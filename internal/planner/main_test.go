package planner

import (
	"os"
	"testing"

	"github.com/lagoonmill/lagoonmill/internal/testseeder"
)

func TestMain(m *testing.M) {
	testseeder.SetDefaults(1, 150)
	os.Exit(m.Run())
}
