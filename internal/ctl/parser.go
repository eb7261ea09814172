package ctl

import "github.com/jessevdk/go-flags"

const longDescription = `plankctl serves the operators of a team. They answer a questionnaire, accept the configuration that is generated from it, and announce planned stops of hosts.

The commands init, check and generate work without a gateway. The others talk to the administration API of any gateway.

Exit codes: 0 done, 1 failed, 2 wrong usage. Colours appear on a terminal only, and not if NO_COLOR is set.`

// commandSpec describes a command to the parser. The data field holds its options and implements flags.Commander.
type commandSpec struct {
	name  string
	short string
	long  string
	data  any
}

// parser returns the command-line parser. go-flags handles shell completion itself.
func (s *session) parser() *flags.Parser {
	parser := flags.NewNamedParser("plankctl", flags.HelpFlag|flags.PassDoubleDash)
	parser.SubcommandsOptional = true
	parser.LongDescription = longDescription
	mustAdd(parser.AddGroup("Options", "", &s.options))
	addCommands(parser.Command, []commandSpec{
		{"init", "Write a commented questionnaire", "Writes a questionnaire without faults, in which every question is explained. It never overwrites a file.", &initCommand{session: s}},
		{"check", "Check a questionnaire", "Reports the section, key, value and remedy of every fault.", &checkCommand{session: s}},
		{"generate", "Generate the configuration", "Prints the configuration that follows from the answers. The same answers always give the same configuration. If there are faults, nothing is written.", &generateCommand{session: s}},
		{"diff", "Show what an accept would change", "Compares a questionnaire or a generated configuration with the one in force, or with a file, and lists the hazards.", &diffCommand{session: s}},
		{"accept", "Put a configuration in force", "Accepts a questionnaire or a generated configuration. It is in force everywhere within 7 s. If another operator accepted a change first, nothing is accepted and both changes are shown.", &acceptCommand{session: s}},
		{"status", "Show hosts, cells and services", "Shows the deployment as the gateway sees it.", &statusCommand{session: s}},
		{"owners", "Show the owners of a key", "Shows the backend server that owns the key in each service that is divided by key.", &ownersCommand{session: s}},
		{"explain", "Explain a request", "Shows what happened to a request, by its request id.", &explainCommand{session: s}},
	})
	stop, err := parser.AddCommand("stop", "Announce, cancel and list planned stops", "A host or backend server with an announced stop is drained without interrupting requests.", &struct{}{})
	mustAdd(stop, err)
	addCommands(stop, []commandSpec{
		{"announce", "Announce a planned stop", "Announces a stop, or replaces the announced stop of the same host or backend server.", &stopAnnounceCommand{session: s}},
		{"cancel", "Cancel a planned stop", "Cancels an announced stop.", &stopCancelCommand{session: s}},
		{"list", "List planned stops", "Lists all planned stops. With the name of a host or backend server it shows the progress until the target is empty; the last line is then: safe to stop.", &stopListCommand{session: s}},
	})
	return parser
}

func addCommands(parent *flags.Command, commands []commandSpec) {
	for _, c := range commands {
		mustAdd(parent.AddCommand(c.name, c.short, c.long, c.data))
	}
}

// mustAdd panics on an invalid struct tag. Such an error does not depend on the arguments, so any run reveals it.
func mustAdd(_ any, err error) {
	if err != nil {
		panic(err)
	}
}

// rejectExtraArgs returns a usage error if there are unexpected positional arguments.
func rejectExtraArgs(args []string) error {
	if len(args) > 0 {
		return newUsageError("unexpected argument %q", args[0])
	}
	return nil
}
