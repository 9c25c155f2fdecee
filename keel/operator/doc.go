// Package operator serves the operators' HTTP listener of an entry: the JSON API, metrics, health and readiness.
//
// Each operator has a bearer token and a subtree of the settings, and may read and change only what lies in it. The API
// reads the entry's state on the control loop through API.ReadView and writes changes to the platform's table as
// transactions.
package operator
