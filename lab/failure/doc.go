// Package failure holds failure tests that run real processes on loopback. The records of
// the callers and of the simulated engines are the oracle: no lost item, no duplicate
// result, no duplicate run of a non-idempotent request, no truncated stream.
package failure
