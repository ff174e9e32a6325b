// Package load is an open-loop load generator for OpenAI-style calls. Requests start
// on a seeded schedule regardless of responses, and every latency is measured from
// the scheduled time. A stall therefore counts for each delayed request, which avoids
// coordinated omission.
package load
