package control

import "github.com/spf13/cobra"

func labMeasure() *cobra.Command {
	return &cobra.Command{Use: "measure", Short: "Measure policies under load and faults", Hidden: true}
}
