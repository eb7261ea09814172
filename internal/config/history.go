package config

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// MaxHistory is the number of entries that History keeps. At 49,000 changes a day they span about two minutes, which is
// longer than an operator's tool retries an accept request.
const MaxHistory = 64

// MaxChangeBytes is the maximum length of the summary of changes in a history entry.
const MaxChangeBytes = 400

// Accepted is the history entry of one accepted revision. It lets a retried accept request be recognized after
// later revisions, and shows an operator whose request conflicted what the others changed.
type Accepted struct {
	Revision uint64 `json:"revision"`
	ID       string `json:"id"`
	// Operator is the name of the access token of the accept request.
	Operator string    `json:"operator,omitempty"`
	At       time.Time `json:"at"`
	// Change summarizes the changes of the revision.
	Change string `json:"change,omitempty"`
	// Digest identifies the content of the accept request: Config.Digest of its configuration, or a
	// description of the planned stop that it announces or cancels.
	Digest string `json:"digest"`
}

// HistoryEntryByID returns the history entry of the accept request with the given id.
func (c *Config) HistoryEntryByID(id string) (Accepted, bool) {
	for _, accepted := range c.History {
		if accepted.ID == id {
			return accepted, true
		}
	}
	return Accepted{}, false
}

// HistorySince returns the history entries after the given revision, oldest first.
func (c *Config) HistorySince(revision uint64) []Accepted {
	var later []Accepted
	for _, accepted := range c.History {
		if accepted.Revision > revision {
			later = append(later, accepted)
		}
	}
	return later
}

// AppendHistory appends a history entry and drops the oldest ones beyond MaxHistory.
func (c *Config) AppendHistory(accepted Accepted) {
	accepted.Change = truncate(accepted.Change, MaxChangeBytes)
	c.History = append(c.History, accepted)
	if surplus := len(c.History) - MaxHistory; surplus > 0 {
		c.History = append([]Accepted(nil), c.History[surplus:]...)
	}
}

// truncate shortens text to at most limit bytes without splitting a UTF-8 sequence, and marks the cut by an ellipsis.
func truncate(text string, limit int) string {
	if len(text) <= limit {
		return text
	}
	const ellipsis = "..."
	end := limit - len(ellipsis)
	for end > 0 && text[end]&0xc0 == 0x80 {
		end--
	}
	return text[:end] + ellipsis
}

// Digest returns a hash of the configuration without revision, id, planned stops, placements and history. It is empty
// if the configuration cannot be encoded.
func (c *Config) Digest() string {
	content := *c
	content.Revision, content.ID = 0, ""
	content.Stops, content.Placements, content.History = nil, nil, nil
	text, err := json.Marshal(content)
	if err != nil {
		// JSON cannot represent NaN and infinite weights, which Validate rejects.
		return ""
	}
	return strconv.FormatUint(xxhash.Sum64(text), 16)
}
