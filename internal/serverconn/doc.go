// Package serverconn sends requests to one backend server over persistent connections. A request is never written again
// once a byte of it has been sent; the returned error tells whether any byte was sent.
package serverconn
