// Command sequoiaroad is the router process that runs on every entry host.
package main

import (
	"os"

	"github.com/sequoiaroad/sequoiaroad/internal/command"
)

func main() { os.Exit(command.Main(os.Args[1:], os.Stdout, os.Stderr)) }
