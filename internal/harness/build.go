package harness

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/joomcode/errorx"
)

// Names of the binaries that the harness starts.
const (
	binaryEntry = "mangostage-entry"
	binaryAgent = "mangostage-agent"
	binaryFake  = "mangostage-fake"
)

// BinaryTool is the name of the operator's command-line tool, for use with Binary.
const BinaryTool = "mangostage"

// build holds the commands of the module, built once per test process.
type build struct {
	// race means that the commands are built with the race detector.
	race bool
	once sync.Once
	// dir is the directory of the binaries.
	dir string
	err error
}

var (
	raceBuild   = build{race: true}
	noRaceBuild = build{}
)

// Main runs the tests of a package, removes the binaries built for them and
// returns the exit code. Call it from TestMain.
func Main(m *testing.M) int {
	code := m.Run()
	for _, b := range []*build{&raceBuild, &noRaceBuild} {
		if b.dir != "" {
			_ = os.RemoveAll(b.dir)
		}
	}
	return code
}

// Binary returns the path of a command, building all commands on first use. They
// are built with the race detector unless noRace is set.
func Binary(t testing.TB, name string, noRace bool) string {
	t.Helper()
	b := &raceBuild
	if noRace {
		b = &noRaceBuild
	}
	b.once.Do(b.run)
	if b.err != nil {
		t.Fatalf("build the commands: %v", b.err)
	}
	return filepath.Join(b.dir, name)
}

func (b *build) run() {
	root, err := moduleRoot()
	if err != nil {
		b.err = err
		return
	}
	if b.dir, b.err = os.MkdirTemp("", "mangostage-bin-"); b.err != nil {
		return
	}
	args := []string{"build", "-o", b.dir}
	if b.race {
		args = append(args, "-race")
	}
	cmd := exec.Command("go", append(args, "./cmd/...")...)
	cmd.Dir = root
	if out, err := cmd.CombinedOutput(); err != nil {
		b.err = errorx.Decorate(err, "%s", out)
	}
}

// moduleRoot returns the directory of go.mod.
func moduleRoot() (string, error) {
	out, err := exec.Command("go", "env", "GOMOD").Output()
	if err != nil {
		return "", errorx.Decorate(err, "find the module")
	}
	return filepath.Dir(strings.TrimSpace(string(out))), nil
}
