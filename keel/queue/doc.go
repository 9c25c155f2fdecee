// Package queue is the model of the operator's configuration of queues and pools, and finds the queue of a request.
package queue
