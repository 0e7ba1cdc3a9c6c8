package mtverb

import (
	"strings"

	"github.com/spf13/cobra"
)

// topic is a help page that belongs to no verb.
type topic struct {
	name  string
	short string
	text  string
}

var topics = []topic{
	{
		name:  "topics",
		short: "List the pages of help that belong to no verb",
		text: `outcomes  what a caller is told and whether a call may be sent again
keys      how to keep a call from running twice
tokens    how teams, owners and operators prove who they are`,
	},
	{
		name:  "outcomes",
		short: "What a caller is told and whether a call may be sent again",
		text: `Every refusal carries the header Mangotack-Outcome:

notrun    the call did not run and never will; it may be sent again
unknown   the call may have run; only an idempotent call may be sent again
answered  the call ran and its answer went out before; it must not be sent again

An answer without the header is the endpoint's own.`,
	},
	{
		name:  "keys",
		short: "How to keep a call from running twice",
		text: `Methods that their service does not declare idempotent run at most once. Resolve gives a
ticket for each address. The header Idempotency-Key of a call is the ticket of the address
that it goes to, a hyphen and a text of the caller's:

Idempotency-Key: entry-3.18c2f0a1.6931a1c0-deposit-77

A call with the same key never runs a second time, whichever instance it is sent to.`,
	},
	{
		name:  "tokens",
		short: "How teams, owners and operators prove who they are",
		text: `Each request carries "Authorization: Bearer TOKEN". Contracts, service records and settings
hold only the SHA-256 hashes of tokens; "mangotack hash" prints the hash of a token that it
reads from standard input. Verbs for operators read the token from MANGOTACK_TOKEN.`,
	},
}

func (t topic) command() *cobra.Command {
	command := &cobra.Command{
		Use:     t.name,
		Short:   t.short,
		Args:    requireNoArguments,
		GroupID: topicGroup,
		Run: func(command *cobra.Command, _ []string) {
			command.Println(strings.TrimSpace(t.text))
		},
	}
	command.SetHelpFunc(func(command *cobra.Command, _ []string) {
		command.Println(strings.TrimSpace(t.text))
	})
	return command
}
