// Package config loads and checks the settings file of an entry that runs with the product's own settings.
//
// Parse decodes the JSON file over the defaults, Config.Check checks the values, and both collect all problems instead
// of stopping at the first, so that an operator can correct a file at once. Keys that begin with two slashes are
// comments.
package config
