package runner

// Presence is whether an instance of a runner still runs.
type Presence string

// Presences of an instance, as in logs and metrics.
const (
	// Present instances run.
	Present Presence = "present"
	// Gone instances have ended: they crashed or left.
	Gone Presence = "gone"
	// Unknown means that nothing was answered in time.
	Unknown Presence = "unknown"
)
