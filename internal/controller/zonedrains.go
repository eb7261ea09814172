package controller

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/kv"
)

// longAgo is the assumed start of drains that were requested before this process knew the store.
const longAgo = -time.Hour

// applyZoneDrains sets the drains of availability zones to those in a complete listing of the store. first is set for the
// first listing that this process reads.
func (c *Controller) applyZoneDrains(items []kv.Item, first bool) {
	since := c.completeAt
	if first {
		since = longAgo
	}
	var names []string
	for _, item := range items {
		if kind, name := c.Entries.Classify(item.Key); kind == EntryZoneDrain {
			names = append(names, name)
		}
	}
	started, ended := c.zones.Replace(c.Clock(), since, names)
	for _, name := range started {
		c.zoneDrainStarted(name)
	}
	for _, name := range ended {
		c.zoneDrainEnded(name)
	}
}

// applyZoneDrainEvent applies a change of the operator's request to drain a zone.
func (c *Controller) applyZoneDrainEvent(name string, event kv.Event) {
	if event.Deleted {
		if c.zones.End(c.Clock(), name) {
			c.zoneDrainEnded(name)
		}
		return
	}
	if c.zones.Start(c.completeAt, name) {
		c.zoneDrainStarted(name)
	}
}

// expireZoneDrains ends the drains whose request a restored store lacks for good.
func (c *Controller) expireZoneDrains() {
	for _, name := range c.zones.Expire(c.Clock()) {
		c.zoneDrainEnded(name)
	}
}

// zoneDrainStarted makes the next plan move the keys of the zone's servers, and publishes the state.
func (c *Controller) zoneDrainStarted(name string) {
	c.dirty = true
	c.serversVersion++
	log := c.Log.WithField("zone", name).WithField("since", c.zones.Get(name).Since).WithField("known_at", c.Clock())
	if !c.directory.HasServersIn(name) {
		log.Warning("operator drains an availability zone without backend servers; check the name of the zone")
		return
	}
	log.Info("operator drains an availability zone; its backend servers get no new requests and their keys move")
}

func (c *Controller) zoneDrainEnded(name string) {
	c.dirty = true
	c.serversVersion++
	c.Log.WithField("zone", name).Info("drain of an availability zone taken back")
}
