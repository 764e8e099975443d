package journaler

import (
	"os"
	"testing"

	"github.com/lagoonmill/lagoonmill/internal/testseeder"
)

func TestMain(m *testing.M) {
	testseeder.SetDefaults(1, 500)
	os.Exit(m.Run())
}
