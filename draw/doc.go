// Command draw writes the pictures of docs/pictures from the journal; it runs in
// the root of the repository.
package main
