package settings_test

import (
	"encoding/json"
	"os"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"samphirekeel.example/keel/settings"
)

const settingsPage = "../../docs/SETTINGS.md"

func TestSettingsPageMatchesCode(t *testing.T) {
	if golden.FlagUpdate() {
		assert.NilError(t, os.WriteFile(settingsPage, []byte(settings.Page()), 0o644))
	}
	page, err := os.ReadFile(settingsPage)
	assert.NilError(t, err)
	assert.Equal(t, string(page), settings.Page())
}

func TestDefaultsAreValidAndKeysUnique(t *testing.T) {
	seen := make(map[settings.Key]bool)
	for _, definition := range settings.All() {
		assert.NilError(t, definition.Check(json.RawMessage(definition.Default)))
		assert.Assert(t, !seen[definition.Key] && definition.Description != "", "%s", definition.Key)
		seen[definition.Key] = true
	}
}
