package mtverb

import (
	"errors"
	"io"
	"strings"

	"github.com/spf13/cobra"

	"github.com/mangotack/mangotack/internal/core/mtrules"
)

func newHashCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "hash",
		Short:   "Print the hash of a token that is read from standard input",
		Example: "  printf %s \"$TOKEN\" | mangotack hash",
		Args:    requireNoArguments,
		RunE: func(command *cobra.Command, _ []string) error {
			text, err := io.ReadAll(command.InOrStdin())
			if err != nil {
				return err
			}
			token := strings.TrimSpace(string(text))
			if token == "" {
				return errors.New("hash: found no token on standard input")
			}
			command.Println(mtrules.HashToken(token))
			return nil
		},
	}
}
