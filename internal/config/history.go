package config

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// MaxHistory is the number of accepts that a configuration remembers. At 49,000 changes a day they span about
// two minutes, which is longer than an operator's tool repeats an accept.
const MaxHistory = 64

// MaxChangeBytes bounds the description of an accept.
const MaxChangeBytes = 400

// HistoryEntry records one accept, so that a repeated accept is recognized after others followed it, and so that
// an operator who lost a race learns what the others changed.
type HistoryEntry struct {
	Revision uint64 `json:"revision"`
	ID       string `json:"id"`
	// Operator is the name of the operator's token.
	Operator string    `json:"operator,omitempty"`
	At       time.Time `json:"at"`
	// Change says what the accept changed.
	Change string `json:"change,omitempty"`
	// Digest identifies the content that was submitted.
	Digest string `json:"digest"`
}

// HistoryEntryByID returns the record of the accept with the given id.
func (c *Config) HistoryEntryByID(id string) (HistoryEntry, bool) {
	for _, accepted := range c.History {
		if accepted.ID == id {
			return accepted, true
		}
	}
	return HistoryEntry{}, false
}

// HistorySince returns the accepts after the given revision, oldest first.
func (c *Config) HistorySince(revision uint64) []HistoryEntry {
	var later []HistoryEntry
	for _, accepted := range c.History {
		if accepted.Revision > revision {
			later = append(later, accepted)
		}
	}
	return later
}

// AppendHistory appends a record and drops the oldest ones beyond MaxHistory.
func (c *Config) AppendHistory(accepted HistoryEntry) {
	accepted.Change = cut(accepted.Change, MaxChangeBytes)
	c.History = append(c.History, accepted)
	if surplus := len(c.History) - MaxHistory; surplus > 0 {
		c.History = append([]HistoryEntry(nil), c.History[surplus:]...)
	}
}

// cut shortens text to at most limit bytes without splitting a character.
func cut(text string, limit int) string {
	if len(text) <= limit {
		return text
	}
	const mark = "..."
	end := limit - len(mark)
	for end > 0 && text[end]&0xc0 == 0x80 {
		end--
	}
	return text[:end] + mark
}

// Digest identifies the content apart from revision, id, planned stops, placements and history.
func (c *Config) Digest() string {
	content := *c
	content.Revision, content.ID = 0, ""
	content.Stops, content.Placements, content.History = nil, nil, nil
	text, err := json.Marshal(content)
	if err != nil {
		// Only weights that are no numbers cannot be encoded, and Validate refuses them.
		return ""
	}
	return strconv.FormatUint(xxhash.Sum64(text), 16)
}
