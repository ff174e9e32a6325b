// Package consensus implements a replicated log with elected leaders in the manner
// of Raft. The replicas of a group run it as a deterministic state machine: Step
// takes the time and one event and returns the actions to execute. The package uses
// no goroutines, sockets, files, wall clock or global randomness, so that the same
// machine runs in production and under the fuzz tests.
package consensus
