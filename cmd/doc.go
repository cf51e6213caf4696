// Package cmd is a placeholder.
package cmd
