package runner

// Presence is whether an instance of a runner still runs.
type Presence string

// Presences of an instance, as in logs and metrics.
const (
	// Present instances run.
	Present Presence = "present"
	// Gone instances have ended: they crashed or left.
	Gone Presence = "gone"
	// Silent instances accept connections and answer nothing in time: they are busy, or something accepts for them.
	Silent Presence = "silent"
	// Unknown means that not even a connection could be opened in time.
	Unknown Presence = "unknown"
)
