// Command poplarvalve prints its version.
package main

import "fmt"

const version = "0.1.0"

func main() {
	fmt.Println("poplarvalve", version)
}
