package soak

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// configTimeout is the time in which a configuration must be in force on all gateways after the last fault.
const configTimeout = 5 * time.Second

// ErrConfigNotInForce means that a gateway does not apply a configuration, because it no longer follows the store.
var ErrConfigNotInForce = errors.New("gateway does not apply the last configuration in time; inspect its log")

// checkConfig writes a configuration with another route and checks that all gateways apply it.
func (d *deployment) checkConfig() error {
	if err := d.publishConfigWith(checkedPath); err != nil {
		return err
	}
	deadline := time.Now().Add(configTimeout)
	for _, g := range d.gateways {
		for !g.hasRoute(checkedPath) {
			if time.Now().After(deadline) {
				return errors.Wrapf(ErrConfigNotInForce, "gateway %s, timeout %v", g.name, configTimeout)
			}
			time.Sleep(configPollInterval)
		}
	}
	return nil
}

const (
	// checkedPath is the path of the route that the last configuration adds, and unusedPath that of the others.
	checkedPath        = "/checked/"
	unusedPath         = "/unused/"
	configPollInterval = 50 * time.Millisecond
)

// hasRoute reports whether the gateway knows the route of a path.
func (g *gateway) hasRoute(path string) bool {
	request, err := http.NewRequest(http.MethodGet, "http://"+g.clientAddr+path, http.NoBody)
	if err != nil {
		return false
	}
	request.Host = testHost
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	// Only the status is of interest.
	_ = response.Body.Close()
	return response.StatusCode != http.StatusNotFound
}
