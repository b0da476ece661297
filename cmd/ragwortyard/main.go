// Command ragwortyard is the one binary of the fleet.
package main

import "fmt"

func main() {
	fmt.Println("ragwortyard")
}
