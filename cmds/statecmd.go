package cmds

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/go-faster/errors"

	"dandeliondoor/dialer"
	"dandeliondoor/heads"
)

const stateHelp = `Print the state of a daemon's parts as YAML.

Examples:
  dandeliondoor state --daemon 10.0.1.7:8082
  dandeliondoor state --daemon 10.0.1.7:8082 --part slots`

// daemonTimeout limits each request to a daemon's operators' port.
const daemonTimeout = 5 * time.Second

type stateCommand struct {
	program *program
	Daemon  string `long:"daemon" required:"yes" description:"operators' address of the daemon" value-name:"IP:PORT"`
	Part    string `long:"part" description:"print only this part"`
}

var _ commander = &stateCommand{}

// Execute implements flags.Commander.
func (c *stateCommand) Execute([]string) error {
	text, err := getFromDaemon(c.Daemon, "/v1/state?part="+url.QueryEscape(c.Part))
	if err != nil {
		return err
	}
	fmt.Fprint(c.program.stdout, string(text))
	return nil
}

// getFromDaemon returns the body of the response to a GET request to a daemon's
// operators' port.
func getFromDaemon(address, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), daemonTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, http.NoBody)
	if err != nil {
		return nil, &ExitError{Code: ExitUsage, Err: err}
	}
	client := &http.Client{Transport: heads.NewTransport(&http.Transport{
		Proxy:       http.ProxyFromEnvironment,
		DialContext: dialer.New(daemonTimeout).DialContext,
	})}
	response, err := client.Do(request)
	if err != nil {
		return nil, &ExitError{Code: ExitUnreachable, Err: errors.Wrapf(err, "daemon %s", address)}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, &ExitError{Code: ExitUnreachable, Err: errors.Wrapf(err, "daemon %s", address)}
	}
	if response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("daemon %s: %s", address, text)
	}
	return text, nil
}
