package admin

// Ownership describes the owner of one key.
type Ownership struct {
	Service   string `json:"service"`
	Key       string `json:"key"`
	Partition uint32 `json:"partition"`
	Cell      string `json:"cell"`
	// Server is the backend server that owns the key, or "" while there is none.
	Server string `json:"server"`
	// Home is the host that forwards requests to Server, or "" if it is not known.
	Home string `json:"home"`
	// Token is the fencing token in the form GENERATION.TERM.SEQ, or "" if there is none.
	Token string `json:"token"`
	// HotKey reports whether the key has an owner of its own, independent of its partition.
	HotKey bool `json:"hot_key"`
	// Moving reports whether a change of owner is in progress.
	Moving bool `json:"moving"`
}
