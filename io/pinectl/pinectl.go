// Package pinectl is the operators' command line: it checks folders of
// configuration, publishes them and shows the state of a deployment.
package pinectl

import (
	"context"
	"fmt"
	"io"
	"slices"

	"github.com/urfave/cli/v3"

	"pineturn/io/operator"
)

// tool is one run of pinectl.
type tool struct {
	in      io.Reader
	out     io.Writer
	errOut  io.Writer
	options options
	client  *operator.Client
}

// Run runs pinectl with the arguments of a process and returns its exit
// status.
func Run(ctx context.Context, args []string, in io.Reader, out, errOut io.Writer) int {
	t := &tool{in: in, out: out, errOut: errOut}
	err := t.command().Run(ctx, args)
	if err == nil {
		return StatusOK
	}
	told := asFailure(err)
	t.tell(told)
	return told.Status
}

func (t *tool) command() *cli.Command {
	command := &cli.Command{
		Name:                  "pinectl",
		Usage:                 "check and publish configuration, show and change the state of a pineturn deployment",
		Description:           exitStatuses,
		Flags:                 t.flags(),
		Writer:                t.out,
		ErrWriter:             t.errOut,
		Suggest:               true,
		EnableShellCompletion: true,
		ConfigureShellCompletionCommand: func(command *cli.Command) {
			command.Hidden = false
			command.Usage = "print the completion script of a shell: bash, zsh, fish or pwsh"
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		OnUsageError:   onUsageError,
		Before:         t.prepare,
		Action:         unknownCommand,
		Commands:       slices.Concat(t.configurationCommands(), t.stateCommands(), t.orderCommands(), t.platformCommands()),
	}
	return command
}

func onUsageError(_ context.Context, command *cli.Command, err error, _ bool) error {
	return usage(err.Error(), fmt.Sprintf("see pinectl %s --help", command.Name))
}

func unknownCommand(_ context.Context, command *cli.Command) error {
	if command.Args().Present() {
		return usage(fmt.Sprintf("no command %q", command.Args().First()), "see pinectl --help")
	}
	return cli.ShowRootCommandHelp(command)
}

// action is a command's work; it gets exactly its arguments.
type action func(ctx context.Context, command *cli.Command) error

// subcommand describes a command that takes the named arguments. A name in
// brackets may be left out.
func subcommand(name, summary string, args []string, run action, flags ...cli.Flag) *cli.Command {
	text := ""
	least := 0
	for _, arg := range args {
		if text != "" {
			text += " "
		}
		text += arg
		if arg[0] != '[' {
			least++
		}
	}
	return &cli.Command{
		Name:         name,
		Usage:        summary,
		ArgsUsage:    text,
		Flags:        flags,
		OnUsageError: onUsageError,
		Action: func(ctx context.Context, command *cli.Command) error {
			if count := command.Args().Len(); count < least || count > len(args) {
				return usage(fmt.Sprintf("%s: %d arguments, want: %s", name, count, text), "see pinectl "+name+" --help")
			}
			return run(ctx, command)
		},
	}
}
