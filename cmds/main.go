package cmds

import (
	"fmt"
	"io"

	"github.com/go-faster/errors"
	"github.com/jessevdk/go-flags"

	"dandeliondoor/check"
	"dandeliondoor/logs"
)

// Exit codes of the commands. 4 was that of a command that no longer exists.
const (
	ExitOK          = 0
	ExitFailed      = 1
	ExitUsage       = 2
	ExitInvalid     = 3
	ExitUnreachable = 5
)

// ExitError carries the exit code of a failed command.
type ExitError struct {
	Code int
	Err  error
}

// Error implements error.
func (e *ExitError) Error() string { return e.Err.Error() }

// Unwrap returns the underlying error.
func (e *ExitError) Unwrap() error { return e.Err }

// program holds the output streams of all commands.
type program struct {
	stdout io.Writer
	stderr io.Writer
}

// commander is the interface of a go-flags command.
type commander = flags.Commander

// commandEntry describes a command to go-flags.
type commandEntry struct {
	name    string
	short   string
	long    string
	command commander
	hidden  bool
}

// Main runs the command that the arguments select and returns its exit code.
func Main(arguments []string, stdout, stderr io.Writer) int {
	p := &program{stdout: stdout, stderr: stderr}
	// Drop library logs: what they say about a failure is in the command's error.
	if logger, err := logs.New(stderr, "text", "fatal"); err == nil {
		logger.RedirectLibraryLogs()
	}
	parser := flags.NewNamedParser("dandeliondoor", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "A proxy fleet that keeps serving callers when upstreams have gray failures."
	for _, entry := range p.commands() {
		command, err := parser.AddCommand(entry.name, entry.short, entry.long, entry.command)
		if err != nil {
			fmt.Fprintln(stderr, "dandeliondoor:", err)
			return ExitFailed
		}
		command.Hidden = entry.hidden
	}
	_, err := parser.ParseArgs(arguments)
	return p.exitCode(err)
}

func (p *program) commands() []commandEntry {
	return append([]commandEntry{
		{name: "audit", short: "Check a configuration of the platform before it is sent", long: auditHelp, command: &auditCommand{program: p}},
		{name: "completion", short: "Print a shell completion", long: completionHelp, command: &completionCommand{program: p}},
		{name: "demo", short: "Run a small fleet with stand-ins", long: demoHelp, command: &demoCommand{program: p}},
		{name: "front", short: "Run a daemon on the platform", long: frontHelp, command: &frontCommand{program: p}},
		{name: "simulate", short: "Simulate server selection under a load", long: simulateHelp, command: &simulateCommand{program: p}},
		{name: "state", short: "Print the state of a daemon", long: stateHelp, command: &stateCommand{program: p}},
		{name: "status", short: "Show which configuration daemons use", long: statusHelp, command: &statusCommand{program: p}},
		{name: "trace", short: "Find a request in the logs of daemons", long: traceHelp, command: &traceCommand{program: p}},
		{name: "version", short: "Print the version", long: versionHelp, command: &versionCommand{program: p}},
	}, p.hiddenCommands()...)
}

// exitCode prints an error and returns its exit code. Help goes to stdout and is not
// a failure.
func (p *program) exitCode(err error) int {
	if err == nil {
		return ExitOK
	}
	var usage *flags.Error
	if errors.As(err, &usage) {
		if usage.Type == flags.ErrHelp {
			fmt.Fprintln(p.stdout, usage.Message)
			return ExitOK
		}
		fmt.Fprintln(p.stderr, usage.Message)
		return ExitUsage
	}
	fmt.Fprintln(p.stderr, err)
	var exit *ExitError
	var findings check.Findings
	switch {
	case errors.As(err, &exit):
		return exit.Code
	case errors.As(err, &findings):
		return ExitInvalid
	default:
		return ExitFailed
	}
}
