// Package heads checks the heads of HTTP responses as they are received. net/http accepts
// more than RFC 9112 lets a server send: names with blanks, folded lines, and line feeds
// among lines that end with CRLF.
package heads
