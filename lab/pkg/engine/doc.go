// Package engine simulates a model engine: continuous batching in one loop, a
// prefix cache of limited size, suspending and resuming streams, exporting and
// importing the KV cache, orders with or without checking fencing tokens, and
// fault injection. It doesn't support priorities. Its ledger counts how often each
// request ran and is the oracle of the failure tests.
package engine
