// Package standin is a placeholder.
package standin
