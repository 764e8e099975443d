package registrar

import (
	"os"
	"testing"

	"github.com/lagoonmill/lagoonmill/internal/seeder"
)

func TestMain(m *testing.M) {
	seeder.SetDefaults(1, 300)
	os.Exit(m.Run())
}
