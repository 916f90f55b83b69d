// Package httpd serves HTTP on listeners whose life the caller controls, with
// go-zero's router, and refuses requests of ambiguous framing.
package httpd
