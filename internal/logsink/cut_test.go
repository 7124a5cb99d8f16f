package logsink

import (
	"encoding/json"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against long texts from clients that displace other lines, and against lines that are no
// JSON any more once they are cut.
func TestLongTextsAreCut(t *testing.T) {
	for name, text := range map[string]string{
		"letters":  strings.Repeat("x", 100_000),
		"quotes":   strings.Repeat(`"`, 100_000),
		"escapes":  strings.Repeat("\\\n", 50_000),
		"control":  strings.Repeat("\x01", 50_000),
		"runes":    strings.Repeat("é☃", 30_000),
		"no UTF-8": strings.Repeat("\xff", 50_000),
		"short":    "x",
	} {
		line, err := json.Marshal(map[string]any{"a": text, "b": "kept", "c": []string{text, "also kept"}, "d": 7})
		assert.NilError(t, err)
		cut := cutTexts(line)
		assert.Assert(t, len(cut) <= 2*maxText+longLine, "%s: %d bytes", name, len(cut))
		var got, whole struct {
			A, B string
			C    []string
			D    int
		}
		assert.NilError(t, json.Unmarshal(line, &whole))
		assert.NilError(t, json.Unmarshal(cut, &got), "%s: %s", name, cut)
		assert.Equal(t, got.B, "kept")
		assert.Equal(t, got.C[1], "also kept")
		assert.Equal(t, got.D, 7)
		assert.Assert(t, strings.HasPrefix(whole.A, strings.TrimSuffix(got.A, cutMark)), name)
	}
}
