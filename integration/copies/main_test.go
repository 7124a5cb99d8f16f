// Package copies checks what becomes of requests whose endpoints send answers twice.
package copies

import (
	"os"
	"testing"

	"github.com/mangostage/mangostage/internal/harness"
)

func TestMain(m *testing.M) { os.Exit(harness.Main(m)) }
