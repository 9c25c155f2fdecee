// Package scripttest runs scripted test sessions under a fake clock and compares their output with golden files.
//
// A script is a file testdata/NAME.session with one command per line; empty lines and lines that start with # are
// copied to the output. The expected output is testdata/NAME.golden. The package under test supplies the commands by
// Session.Run.
package scripttest
