// Package admin implements the administration HTTP API of a gateway. Operators use it to read and replace the
// configuration of their team, to announce planned stops, and to query the status of the deployment, the owners of
// keys and the history of requests. api/openapi.json specifies the API.
package admin
