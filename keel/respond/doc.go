// Package respond writes values and errors as HTTP answers.
package respond
