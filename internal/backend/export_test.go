package backend

// DisableHiding leaves Idempotency-Key visible to net/http.
func (c *Client) DisableHiding() { c.hideKeys = false }

// DisableAbort lets net/http write a request a second time.
func (c *Client) DisableAbort() { c.abortReplays = false }
