package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"ibislift/core/profile"
	"ibislift/daemon"
)

// registerCheck adds the command that checks settings and profile files without
// a running daemon.
func registerCheck(app *kingpin.Application, commands map[string]func() error) {
	command := app.Command("check", "Check the settings of a daemon and profile files, without a running daemon.")
	flags := &daemon.Flags{}
	flags.Register(command)
	files := command.Flag("file", "Profile file; may be repeated.").Short('f').Strings()
	commands[command.FullCommand()] = func() error {
		if flags.Settings.Name != "" || len(*files) == 0 {
			if _, err := flags.Validate(); err != nil {
				return &exitError{code: exitUsage, cause: err}
			}
			fmt.Println("settings: ok")
		}
		for _, file := range *files {
			if err := checkFile(file); err != nil {
				return err
			}
			fmt.Println(file + ": ok")
		}
		return nil
	}
}

func checkFile(file string) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return &exitError{code: exitUsage, cause: err}
	}
	if _, err := profile.Parse(text); err != nil {
		return &exitError{code: exitUsage, cause: fmt.Errorf("%s: %w", file, err)}
	}
	return nil
}
