// Package cmds holds the commands of the program, a file each.
package cmds
