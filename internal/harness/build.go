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

// The names of the binaries.
const (
	binaryEntry = "mangostage-entry"
	binaryAgent = "mangostage-agent"
	binaryFake  = "mangostage-fake"
)

// BinaryTool is the name of the operator's tool, for Binary.
const BinaryTool = "mangostage"

// build is the commands built once for the whole test process.
type build struct {
	race bool
	once sync.Once
	dir  string
	err  error
}

var (
	raceBuild  = build{race: true}
	plainBuild = build{}
)

// Main runs the tests of a package and removes what was built for them. It is
// called from TestMain.
func Main(m *testing.M) int {
	code := m.Run()
	for _, b := range []*build{&raceBuild, &plainBuild} {
		if b.dir != "" {
			_ = os.RemoveAll(b.dir)
		}
	}
	return code
}

// Binary returns the path of a command, built with the race detector unless
// plain is set.
func Binary(t testing.TB, name string, plain bool) string {
	t.Helper()
	b := &raceBuild
	if plain {
		b = &plainBuild
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

func moduleRoot() (string, error) {
	out, err := exec.Command("go", "env", "GOMOD").Output()
	if err != nil {
		return "", errorx.Decorate(err, "find the module")
	}
	return filepath.Dir(strings.TrimSpace(string(out))), nil
}
