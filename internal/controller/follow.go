package controller

import (
	"strings"

	"github.com/sapphireplank/sapphireplank/internal/boottime"
	"github.com/sapphireplank/sapphireplank/internal/directory"
	"github.com/sapphireplank/sapphireplank/internal/election"
	"github.com/sapphireplank/sapphireplank/internal/kv"
	"github.com/sapphireplank/sapphireplank/internal/mirror"
	"github.com/sapphireplank/sapphireplank/internal/ownership"
	"github.com/sapphireplank/sapphireplank/internal/routing"
)

// prefixTables holds the ownership table of each service.
const prefixTables = "plank/ownership/"

// follow takes an update of what the store holds.
func (c *Controller) follow(update mirror.Update) {
	now := c.Clock()
	switch {
	case update.Err != nil:
		c.Log.WithError(update.Err).Info("store does not answer; going on with what is known")
		c.directory.RecordStoreOutage(now)
		return
	case update.Full:
		c.followAll(update)
	default:
		c.followEvents(update)
	}
	c.beats.contact = now
}

// followAll brings everything to a complete listing.
func (c *Controller) followAll(update mirror.Update) {
	if update.AsOf < c.asOf {
		return
	}
	c.asOf = update.AsOf
	c.beats.full = nil
	c.dirty = true
	c.items = make(map[string]kv.Item, len(update.Items))
	c.tables = make(map[string]*ownership.Table)
	var servers []directory.Server
	for _, item := range update.Items {
		c.items[item.Key] = item
		if server, ok := c.serverEntry(item); ok {
			servers = append(servers, server)
			continue
		}
		c.followItem(item)
	}
	c.directory.Replace(c.Clock(), servers)
	c.serversChanged++
	c.observeLeader(update.AsOf, c.items[election.Key])
	if c.election.State() == election.StateLeading {
		// What the others know may be missing changes too.
		c.server.CloseAll()
	}
}

// followEvents takes changes, and passes on those that are new.
func (c *Controller) followEvents(update mirror.Update) {
	var fresh []kv.Event
	for _, event := range update.Events {
		if event.Revision <= c.asOf || event.Revision <= c.items[event.Key].Revision {
			continue
		}
		fresh = append(fresh, event)
		c.beats.full = nil
		if event.Deleted {
			delete(c.items, event.Key)
		} else {
			c.items[event.Key] = event.Item
		}
		c.followEvent(event)
	}
	c.asOf = max(c.asOf, update.AsOf)
	c.relay(fresh, update.AsOf)
}

// serverEntry reads the entry of a backend server, if the item is one.
func (c *Controller) serverEntry(item kv.Item) (directory.Server, bool) {
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

// followEvent takes one change.
func (c *Controller) followEvent(event kv.Event) {
	c.dirty = true
	if event.Key == election.Key {
		item := event.Item
		if event.Deleted {
			item = kv.Item{}
		}
		c.observeLeader(event.Revision, item)
		return
	}
	if kind, id := c.Entries.Classify(event.Key); kind == EntryServer {
		c.followServer(id, event)
		return
	}
	if event.Deleted {
		c.forgetItem(event.Key)
		return
	}
	c.followItem(event.Item)
}

// followServer takes a change of the entry of a backend server.
func (c *Controller) followServer(id string, event kv.Event) {
	c.serversChanged++
	if event.Deleted {
		c.directory.Remove(c.Clock(), id)
		return
	}
	server, ok := c.serverEntry(event.Item)
	if !ok {
		c.directory.Remove(c.Clock(), id)
		return
	}
	if known, ok := c.directory.Lookup(id); ok && known.StartedAtMs != server.StartedAtMs {
		c.ended(known.Server)
	}
	c.directory.Put(c.Clock(), server)
}

// ended notes that a life of a backend server is over.
func (c *Controller) ended(server directory.Server) {
	for _, a := range c.assigners {
		a.assigner.MarkTerminated(ownership.Holder{ID: server.ID, Born: server.StartedAtMs, Addr: server.Addr})
	}
}

// followItem takes an item that is not the entry of a backend server.
func (c *Controller) followItem(item kv.Item) {
	kind, _ := c.Entries.Classify(item.Key)
	service, isTable := strings.CutPrefix(item.Key, prefixTables)
	switch {
	case kind == EntryConfig:
		c.followConfig(item)
	case isTable:
		table, err := ownership.DecodeTable(item.Value, c.Ownership.Keys)
		if err != nil {
			c.Log.WithError(err).WithField("service", service).Warning("ownership table left out")
			return
		}
		c.tables[service] = table
	}
}

// forgetItem takes the removal of an item.
func (c *Controller) forgetItem(key string) {
	if service, ok := strings.CutPrefix(key, prefixTables); ok {
		delete(c.tables, service)
	}
}

// followConfig puts a configuration in force. It never goes back to an older one.
func (c *Controller) followConfig(item kv.Item) {
	config, err := c.Entries.DecodeConfig(item.Value)
	if err != nil {
		c.Log.WithError(err).Warning("configuration left out")
		return
	}
	if c.config != nil && config.Version <= c.config.Version {
		return
	}
	c.config = config
	c.routes = routing.NewTable(config)
	c.Log.WithField("version", config.Version).WithField("routes", len(config.Routes)).Info("configuration in force")
}

// observeLeader takes the record of the elected gateway.
func (c *Controller) observeLeader(at kv.Revision, item kv.Item) {
	before := c.election.State()
	if err := c.election.Observe(boottime.Now(), at, item.Created, item.Value); err != nil {
		c.Log.WithError(err).Warning("election")
	}
	c.noteElection(before)
}
