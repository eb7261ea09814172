// Package admin is the administration API of a gateway: operators read and replace the configuration of their
// team, announce planned stops, and ask for status, owners and explanations. api/openapi.json describes it.
package admin
