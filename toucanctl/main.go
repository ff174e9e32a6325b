// Command toucanctl is the operators' command-line client.
package main

import (
	"os"

	"toucanhinge.example/toucanctl/pkg/app"
)

func main() {
	os.Exit(app.Run(os.Args[1:], os.Stdout, os.Stderr))
}
