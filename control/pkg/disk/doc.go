// Package disk stores the log and the hard state of one replica in files. Data is durable
// once Append returns without an error. After a failed write or sync, a log accepts no
// more writes.
package disk
