package controller

import (
	"strings"

	"github.com/sirupsen/logrus"

	"github.com/sapphireplank/sapphireplank/internal/boottime"
	"github.com/sapphireplank/sapphireplank/internal/directory"
	"github.com/sapphireplank/sapphireplank/internal/election"
	"github.com/sapphireplank/sapphireplank/internal/kv"
	"github.com/sapphireplank/sapphireplank/internal/mirror"
	"github.com/sapphireplank/sapphireplank/internal/ownership"
	"github.com/sapphireplank/sapphireplank/internal/routing"
)

// tableKeyPrefix is the prefix of the store keys of the ownership tables; the name of the service follows it.
const tableKeyPrefix = "plank/ownership/"

// applyUpdate applies an update of the store's contents.
func (c *Controller) applyUpdate(update mirror.Update) {
	now := c.Clock()
	switch {
	case update.Err != nil:
		c.Log.WithError(update.Err).Info("store call failed; continuing with the last known state")
		c.directory.RecordStoreOutage(now)
		return
	case update.Full:
		c.applyListing(update)
	default:
		c.applyEvents(update)
	}
	c.broadcasts.lastStoreContact = now
}

// applyListing replaces the state with a complete listing of the store.
func (c *Controller) applyListing(update mirror.Update) {
	if update.AsOf.Before(c.asOf) {
		c.Log.WithField("revision", update.AsOf).WithField("known", c.asOf).Info("listing of the store is older than what is known; ignored")
		return
	}
	first := c.asOf.IsZero()
	restored := !first && c.asOf.Era != update.AsOf.Era
	c.observeEra(update.AsOf.Era)
	c.asOf = update.AsOf
	c.broadcasts.fullUpdate = nil
	c.dirty = true
	c.items = make(map[string]kv.Item, len(update.Items))
	knownTables := c.tables
	c.tables = make(map[string]*ownership.Table)
	var servers []directory.Server
	for _, item := range update.Items {
		c.items[item.Key] = item
		if server, ok := c.decodeServer(item); ok {
			c.observeServer(server)
			servers = append(servers, server)
			continue
		}
		c.applyItem(item)
	}
	if restored {
		c.adoptTableRevisions()
	}
	c.keepNewerTables(knownTables, restored)
	if first || restored {
		c.yieldCampaign()
	}
	c.directory.Replace(c.Clock(), c.completeAt, servers)
	c.applyZoneDrains(update.Items, first)
	c.serversVersion++
	c.observeLeader(update.AsOf, c.items[election.Key])
	if c.election.Acting() {
		// The other gateways may have missed changes as well; they receive everything when they reconnect.
		c.server.CloseAll()
	}
}

// applyEvents applies changes, and forwards the new ones to the other gateways.
func (c *Controller) applyEvents(update mirror.Update) {
	var newEvents []kv.Event
	defer func() { c.logIgnoredEvents(len(update.Events)-len(newEvents), update.AsOf) }()
	for _, event := range update.Events {
		if !c.asOf.Before(event.Revision) || !c.items[event.Key].Revision.Before(event.Revision) {
			continue
		}
		newEvents = append(newEvents, event)
		c.broadcasts.fullUpdate = nil
		if event.Deleted {
			delete(c.items, event.Key)
		} else {
			c.items[event.Key] = event.Item
		}
		c.applyEvent(event)
	}
	c.asOf = c.asOf.Latest(update.AsOf)
	c.relayEvents(newEvents, update.AsOf)
}

// logIgnoredEvents logs that changes were ignored because they are not above the known revisions. Some are expected: the
// elected gateway relays changes that this one has read itself.
func (c *Controller) logIgnoredEvents(count int, asOf kv.Revision) {
	if count > 0 {
		c.Log.WithField("events", count).WithField("revision", asOf).WithField("known", c.asOf).Debug("known changes ignored")
	}
}

// decodeServer decodes the entry of a backend server. It returns false if the item is not a valid entry of one.
func (c *Controller) decodeServer(item kv.Item) (directory.Server, bool) {
	kind, id := c.Entries.Classify(item.Key)
	if kind != EntryServer {
		return directory.Server{}, false
	}
	server, err := c.Entries.DecodeServer(id, item.Value)
	if err != nil {
		c.Log.WithError(err).Info("entry of a backend server left out")
		return directory.Server{}, false
	}
	return server, true
}

// applyEvent applies one change.
func (c *Controller) applyEvent(event kv.Event) {
	c.dirty = true
	if event.Key == election.Key {
		item := event.Item
		if event.Deleted {
			item = kv.Item{}
		}
		c.observeLeader(event.Revision, item)
		return
	}
	switch kind, name := c.Entries.Classify(event.Key); kind {
	case EntryServer:
		c.applyServerEvent(name, event)
		return
	case EntryZoneDrain:
		c.applyZoneDrainEvent(name, event)
		return
	}
	if event.Deleted {
		c.removeItem(event.Key)
		return
	}
	c.applyItem(event.Item)
}

// applyServerEvent applies a change of the entry of a backend server.
func (c *Controller) applyServerEvent(id string, event kv.Event) {
	c.serversVersion++
	if event.Deleted {
		c.directory.Remove(c.Clock(), id)
		return
	}
	server, ok := c.decodeServer(event.Item)
	if !ok {
		c.directory.Remove(c.Clock(), id)
		return
	}
	c.observeServer(server)
	c.directory.Put(c.Clock(), c.completeAt, server)
}

// observeServer tells the assigners of a backend server that runs as another incarnation than the known one, unless the
// entry is outdated. Assigners whose table is still being loaded need not know, because they treat the owners in it as
// running.
func (c *Controller) observeServer(server directory.Server) {
	if c.directory.IsOutdated(c.Clock(), server) {
		known, _ := c.directory.Lookup(server.ID)
		c.Log.WithFields(logrus.Fields{
			"server": server.ID, "started_ms": server.StartedAtMs, "sequence": server.Sequence, "draining": server.Draining,
			"known_started_ms": known.StartedAtMs, "known_sequence": known.Sequence,
		}).Info("entry of a backend server is older than what is known; ignored")
		return
	}
	previous, restarted := c.directory.Restarted(c.Clock(), server)
	if !restarted {
		return
	}
	for _, a := range c.assigners {
		if a.assigner != nil {
			a.assigner.MarkRestarted(holderOf(previous), holderOf(server))
		}
	}
}

// applyItem applies an item that is not the entry of a backend server.
func (c *Controller) applyItem(item kv.Item) {
	kind, _ := c.Entries.Classify(item.Key)
	service, isTable := strings.CutPrefix(item.Key, tableKeyPrefix)
	switch {
	case kind == EntryConfig:
		c.applyConfig(item)
	case isTable:
		table, err := ownership.DecodeTable(item.Value, c.Ownership.Keys)
		if err != nil {
			c.Log.WithError(err).WithField("service", service).Warning("ignoring invalid ownership table")
			return
		}
		if known := c.tables[service]; lacksChanges(table, item.Revision.Era, known) {
			return
		}
		c.tables[service] = table
	}
}

// removeItem applies the removal of an item that is not the entry of a backend server.
func (c *Controller) removeItem(key string) {
	if service, ok := strings.CutPrefix(key, tableKeyPrefix); ok {
		delete(c.tables, service)
	}
}

// applyConfig puts a configuration into force unless its version is the current one or older.
func (c *Controller) applyConfig(item kv.Item) {
	config, err := c.Entries.DecodeConfig(item.Value)
	if err != nil {
		c.Log.WithError(err).Warning("ignoring invalid configuration")
		return
	}
	if c.config != nil && config.Version <= c.config.Version {
		return
	}
	c.config = config
	c.routes = routing.NewTable(config)
	c.Log.WithField("version", config.Version).WithField("routes", len(config.Routes)).Info("configuration in force")
}

// observeLeader passes the record of the elected gateway to the election.
func (c *Controller) observeLeader(at kv.Revision, item kv.Item) {
	wasActing := c.election.Acting()
	c.rememberLeader()
	if err := c.election.Observe(boottime.Now(), at, item.Created, item.Value); err != nil {
		c.Log.WithError(err).Warning("election")
	}
	c.electionChanged(wasActing)
}
