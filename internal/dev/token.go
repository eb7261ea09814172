package dev

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"github.com/sapphireplank/sapphireplank/internal/admin"
)

// operatorToken is the bearer token of operators in development deployments.
const operatorToken = "development"

// tokenLine returns the line of a token file that gives operatorToken the operator role for a team.
func tokenLine(team string) string {
	digest := sha256.Sum256([]byte(operatorToken))
	return "developer " + team + " operator " + hex.EncodeToString(digest[:]) + "\n"
}

func operatorTokens(team string) (*admin.Tokens, error) {
	return admin.ReadTokens(strings.NewReader(tokenLine(team)))
}
