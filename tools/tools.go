// Package tools pins the generators and linters of this workspace, apart from
// the programs, so that their dependencies never reach a program.
package tools
