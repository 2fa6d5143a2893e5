// Command sequoiaroad runs the router on a host.
package main

import (
	"os"

	"github.com/sequoiaroad/sequoiaroad/internal/command"
)

func main() { os.Exit(command.Main(os.Args[1:], os.Stdout, os.Stderr)) }
