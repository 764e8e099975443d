package scheduler

import (
	"os"
	"testing"

	"github.com/lagoonmill/lagoonmill/internal/testseeder"
)

func TestMain(m *testing.M) {
	testseeder.SetDefaults(1, 300)
	os.Exit(m.Run())
}
