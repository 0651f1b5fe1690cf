// Package pinectl implements the command line for operators: it checks folders of
// configuration files, publishes them, and shows and changes the state of a
// deployment.
package pinectl

import (
	"context"
	"fmt"
	"io"
	"math"
	"slices"
	"strings"

	"github.com/urfave/cli/v3"

	"pineturn/io/operator"
)

// invocation is one run of pinectl.
type invocation struct {
	in      io.Reader
	out     io.Writer
	errOut  io.Writer
	options options
	client  *operator.Client
}

// Run runs pinectl and returns its exit status. args is the command line of the
// process, with the name of the program first.
func Run(ctx context.Context, args []string, in io.Reader, out, errOut io.Writer) int {
	inv := &invocation{in: in, out: out, errOut: errOut}
	err := inv.command().Run(ctx, args)
	if err == nil {
		return StatusOK
	}
	f := toFailure(err)
	inv.printFailure(f)
	return f.Status
}

func (inv *invocation) command() *cli.Command {
	command := &cli.Command{
		Name:                  "pinectl",
		Usage:                 "check and publish configuration, show and change the state of a pineturn deployment",
		Description:           exitStatuses,
		Flags:                 inv.flags(),
		Writer:                inv.out,
		ErrWriter:             inv.errOut,
		Suggest:               true,
		EnableShellCompletion: true,
		ConfigureShellCompletionCommand: func(command *cli.Command) {
			command.Hidden = false
			command.Usage = "print the completion script of a shell: bash, zsh, fish or pwsh"
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		OnUsageError:   onUsageError,
		Before:         inv.prepare,
		Action:         unknownCommand,
		Commands:       slices.Concat(inv.configurationCommands(), inv.stateCommands(), inv.controlCommands(), inv.platformCommands()),
	}
	return command
}

func onUsageError(_ context.Context, command *cli.Command, err error, _ bool) error {
	return usageFailure(err.Error(), fmt.Sprintf("see pinectl %s --help", command.Name))
}

func unknownCommand(_ context.Context, command *cli.Command) error {
	if command.Args().Present() {
		return usageFailure(fmt.Sprintf("unknown command %q", command.Args().First()), "see pinectl --help")
	}
	return cli.ShowRootCommandHelp(command)
}

// action runs a command. The number of its arguments is already checked.
type action func(ctx context.Context, command *cli.Command) error

// subcommand returns a command that takes the named arguments. An argument whose
// name is in brackets is optional.
func subcommand(name, summary string, args []string, run action, flags ...cli.Flag) *cli.Command {
	usage := ""
	minArgs, maxArgs := 0, len(args)
	for _, arg := range args {
		if usage != "" {
			usage += " "
		}
		usage += arg
		if arg[0] != '[' {
			minArgs++
		}
		if strings.HasSuffix(arg, "...") {
			maxArgs = math.MaxInt
		}
	}
	return &cli.Command{
		Name:         name,
		Usage:        summary,
		ArgsUsage:    usage,
		Flags:        flags,
		OnUsageError: onUsageError,
		Action: func(ctx context.Context, command *cli.Command) error {
			if count := command.Args().Len(); count < minArgs || count > maxArgs {
				return usageFailure(fmt.Sprintf("%s: got %d arguments, want: %s", name, count, usage), "see pinectl "+name+" --help")
			}
			return run(ctx, command)
		},
	}
}
