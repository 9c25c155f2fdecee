// Package accept keeps listeners accepting connections: an error of accept, such as a lack of descriptors, is retried after a
// delay and ends neither the server nor the process.
package accept
