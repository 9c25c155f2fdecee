// Package probe scrapes the metrics of entries at the start and end of a period and reports the resources that each
// entry used: processor time, memory, and the bytes of control traffic.
package probe
