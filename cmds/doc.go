// Package cmds implements the commands of the dandeliondoor program, one in each
// file.
package cmds
