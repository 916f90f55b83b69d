package cmds

import "fmt"

const completionHelp = `Print the completion for bash, to be sourced by the shell.

Example:
  source <(dandeliondoor completion)`

// bashCompletion gets the completions from the program itself: go-flags prints them
// when GO_FLAGS_COMPLETION is set.
const bashCompletion = `_dandeliondoor() {
    local args=("${COMP_WORDS[@]:1:$COMP_CWORD}")
    local IFS=$'\n'
    COMPREPLY=($(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${args[@]}"))
}
complete -F _dandeliondoor dandeliondoor
`

type completionCommand struct {
	program *program
}

var _ commander = &completionCommand{}

// Execute implements flags.Commander.
func (c *completionCommand) Execute([]string) error {
	fmt.Fprint(c.program.stdout, bashCompletion)
	return nil
}
