// Package rendezvous assigns keys to nodes by highest random weight, so that adding or removing a node moves
// only the keys of that node.
package rendezvous

import "github.com/cespare/xxhash/v2"

// Pick returns the node with the highest weight for key, or "" if there are no nodes. The order of nodes
// does not matter.
func Pick(key string, nodes []string) string {
	var best string
	var bestWeight uint64
	for _, n := range nodes {
		w := weight(key, n)
		if best == "" || w > bestWeight || w == bestWeight && n < best {
			best, bestWeight = n, w
		}
	}
	return best
}

func weight(key, node string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(node)
	_, _ = d.Write([]byte{0}) // keeps ("ab", "c") and ("a", "bc") apart
	_, _ = d.WriteString(key)
	return d.Sum64()
}
