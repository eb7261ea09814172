// Package serverconn sends requests to one backend server over connections that are used again. Each request is
// written once: nothing here sends it a second time after a byte has left, and the error says whether one has.
package serverconn
