package mtverb

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/spf13/cobra"

	"github.com/mangotack/mangotack/internal/core/mtrecord"
	"github.com/mangotack/mangotack/internal/verb/mtoperator"
	entryv1 "github.com/mangotack/mangotack/pkg/gen/mangotack/entry/v1"
	recordv1 "github.com/mangotack/mangotack/pkg/gen/mangotack/record/v1"
)

// tokenVariable is the environment variable that holds the token of an operator or owner.
const tokenVariable = "MANGOTACK_TOKEN"

const waitTimeout = 30 * time.Second

// operatorFlags are the flags of the verbs for operators.
type operatorFlags struct {
	entry string
	wait  bool
}

func (f *operatorFlags) add(command *cobra.Command) {
	command.Flags().StringVar(&f.entry, "entry", "", "control address of an entry instance, an IP number and a port")
}

func (f *operatorFlags) addWait(command *cobra.Command) {
	command.Flags().BoolVar(&f.wait, "wait", false, "wait until the change is in force everywhere")
}

func (f *operatorFlags) client(command *cobra.Command) (*mtoperator.Client, error) {
	if f.entry == "" {
		return nil, usageError{error: fmt.Errorf("%s: found no --entry, expected the control address of an entry instance", command.Name())}
	}
	token := os.Getenv(tokenVariable)
	if token == "" {
		return nil, usageError{error: fmt.Errorf("%s: found no %s in the environment, expected a token", command.Name(), tokenVariable)}
	}
	return mtoperator.NewClient(f.entry, token), nil
}

// status asks the entry instance that the flags name.
func (f *operatorFlags) status(command *cobra.Command) (*entryv1.StatusResponse, error) {
	client, err := f.client(command)
	if err != nil {
		return nil, err
	}
	status, err := client.Status(command.Context())
	if err != nil {
		return nil, explain(err)
	}
	return status, nil
}

func newPublishCommand() *cobra.Command {
	flags := &operatorFlags{}
	command := &cobra.Command{
		Use:     "publish --entry ADDRESS FILE...",
		Short:   "Publish new records",
		Long:    "Publishes the records of bundles that are not in force yet, and refuses all of them when one\ndiffers from the version in force, which only amend replaces. Services, contracts and marks\nneed an operator's token in MANGOTACK_TOKEN, approvals the token of the service's owner.",
		Example: "  MANGOTACK_TOKEN=... mangotack publish --entry 127.0.1.100:7200 --wait contracts.json",
		Args:    files,
		RunE: func(command *cobra.Command, arguments []string) error {
			for _, file := range arguments {
				records, err := loadBundle(command, file)
				if err != nil {
					return err
				}
				if err := flags.publishNew(command, records); err != nil {
					return err
				}
			}
			return nil
		},
	}
	flags.add(command)
	flags.addWait(command)
	return command
}

// publishNew publishes records none of which replaces one in force, so that nobody's amendment is overwritten unseen.
func (f *operatorFlags) publishNew(command *cobra.Command, records []*recordv1.Record) error {
	status, err := f.status(command)
	if err != nil {
		return err
	}
	client, err := f.client(command)
	if err != nil {
		return err
	}
	var failures []error
	for _, record := range records {
		if !client.Complete(record, status.GetVersions()) && record.GetAmends() > 0 {
			failures = append(failures, fmt.Errorf("%s: version %d is in force and differs; use amend --version %d", mtrecord.Key(record), record.GetAmends(), record.GetAmends()))
		}
	}
	if err := errors.Join(failures...); err != nil {
		return err
	}
	return f.publish(command, records, status.GetVersions())
}

// publish publishes records one after the other and prints what became of each; each amends its version among those given,
// so a change that came between is not overwritten.
func (f *operatorFlags) publish(command *cobra.Command, records []*recordv1.Record, versions []*recordv1.Version) error {
	client, err := f.client(command)
	if err != nil {
		return err
	}
	started := time.Now()
	last := uint64(0)
	for _, record := range records {
		if client.Complete(record, versions) {
			command.Printf("%s: unchanged\n", mtrecord.Key(record))
			continue
		}
		answer, err := client.Publish(command.Context(), record)
		if err != nil {
			return explain(err)
		}
		if !answer.GetAccepted() {
			return fmt.Errorf("%s: an earlier change amended version %d, the present version is %d", mtrecord.Key(record), record.GetAmends(), answer.GetVersion())
		}
		command.Printf("%s: version %d appended at offset %d\n", mtrecord.Key(record), answer.GetVersion(), answer.GetOffset())
		last = answer.GetOffset()
	}
	if !f.wait {
		return nil
	}
	return f.waitForce(command, client, last, started)
}

func (f *operatorFlags) waitForce(command *cobra.Command, client *mtoperator.Client, offset uint64, started time.Time) error {
	limited, cancel := context.WithTimeout(command.Context(), waitTimeout)
	defer cancel()
	said := ""
	err := client.Wait(limited, offset, func(answer *entryv1.ForceResponse) {
		line := fmt.Sprintf("in force on %d of %d", answer.GetApplied(), answer.GetTotal())
		if waiting := answer.GetWaiting(); len(waiting) > 0 {
			line += ", waiting for " + strings.Join(waiting, ", ")
		}
		if line != said {
			command.Println(line)
			said = line
		}
	})
	if err != nil {
		return explain(err)
	}
	command.Printf("in force everywhere after %s\n", time.Since(started).Round(time.Millisecond))
	return nil
}

// explain leaves out the code of a connect error, which its message makes plain.
func explain(err error) error {
	var failure *connect.Error
	if errors.As(err, &failure) {
		return errors.New(failure.Message())
	}
	return err
}
