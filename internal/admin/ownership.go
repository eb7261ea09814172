package admin

// Ownership is the owner of one key.
type Ownership struct {
	Service   string `json:"service"`
	Key       string `json:"key"`
	Partition uint32 `json:"partition"`
	Cell      string `json:"cell"`
	// Server is the owning backend server, or "" while there is none.
	Server string `json:"server"`
	Home   string `json:"home"`
	// Token is the fencing token as GENERATION.TERM.SEQ, or "".
	Token string `json:"token"`
	// HotKey is true if the key is owned apart from its partition.
	HotKey bool `json:"hot_key"`
	// Moving is true while the owner changes.
	Moving bool `json:"moving"`
}
