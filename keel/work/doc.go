// Package work is the model of jobs: what callers submit, and the progress and outcome that are stored.
//
// A job is a list of steps, and a step is a number of identical tasks. A job may repeat its steps in several
// occurrences, each due at its own time. The package makes no scheduling decisions.
package work
