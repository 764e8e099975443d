package journaler

import (
	"os"
	"testing"

	"github.com/lagoonmill/lagoonmill/internal/seeder"
)

func TestMain(m *testing.M) {
	seeder.SetDefaults(1, 500)
	os.Exit(m.Run())
}
