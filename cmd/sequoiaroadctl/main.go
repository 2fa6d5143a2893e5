// Command sequoiaroadctl is the operators' tool.
package main

func main() {}
