// Package tools pins the development tools of the workspace.
package tools
