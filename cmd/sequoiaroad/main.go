// Command sequoiaroad is the router process that runs on every entry host.
package main

func main() {}
