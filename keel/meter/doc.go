// Package meter counts the bytes sent and received on connections of one kind and exports the counts as metrics.
package meter
