// Package node is a placeholder.
package node
