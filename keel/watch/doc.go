// Package watch caches the table's rows under a key prefix. The cache is updated with the results of scans, which come
// from the table or from the cache of a peer.
//
// A row never reverts to an older version, even if results arrive out of order.
package watch
