package event

import "github.com/sirupsen/logrus"

// The events of settings.
const (
	SettingsApplied ID = 500 + iota
)

var settingsEvents = []Definition{
	{SettingsApplied, "settings_applied", logrus.InfoLevel, "a revision of the settings tree is applied on this entry", []string{"revision"}},
}
