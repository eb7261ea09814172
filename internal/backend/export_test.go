package backend

// DisableKeyHiding leaves Idempotency-Key visible to net/http.
func (c *Client) DisableKeyHiding() { c.hideKeys = false }

// AllowReplays lets net/http write a request a second time.
func (c *Client) AllowReplays() { c.abortReplays = false }
