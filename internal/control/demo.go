package control

import (
	"os"
	"path/filepath"

	"github.com/joomcode/errorx"
	"github.com/spf13/cobra"

	"github.com/hornbeamspan/hornbeamspan/internal/settings"
	"github.com/hornbeamspan/hornbeamspan/lab/demonstrator"
	"github.com/hornbeamspan/hornbeamspan/transport/eventlogger"
)

func labDemo() *cobra.Command {
	cmd := &cobra.Command{Use: "demo", Short: "Send all kinds of requests to a small system and check every answer", Args: cobra.NoArgs}
	r := settings.Add(cmd, envPrefix+"_DEMO", []settings.Option{
		{Name: "dir", Default: "out/demo", Doc: "folder for the logs of all processes"},
	})
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		eventlogger.New("lab", "warn", false, os.Stderr)
		bin, err := binDir()
		if err != nil {
			return err
		}
		return demonstrator.Run(cmd.Context(), bin, r.Text("dir"), cmd.OutOrStdout())
	}
	return cmd
}

// binDir returns the folder of this program, which also contains the daemon.
func binDir() (string, error) {
	path, err := os.Executable()
	if err != nil {
		return "", errorx.Decorate(err, "control: unable to find the folder of the programs")
	}
	return filepath.Dir(path), nil
}
