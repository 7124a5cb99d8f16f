package clients

import (
	"os"
	"testing"

	"github.com/mangostage/mangostage/internal/harness"
)

func TestMain(m *testing.M) { os.Exit(harness.Main(m)) }
