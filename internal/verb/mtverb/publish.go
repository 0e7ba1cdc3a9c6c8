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

// tokenEnvVariable is the environment variable that holds the token of an operator, a service's owner or a team.
const tokenEnvVariable = "MANGOTACK_TOKEN"

// waitTimeout bounds the wait of --wait.
const waitTimeout = 30 * time.Second

// operatorFlags holds the values of the flags that the operators' verbs share.
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
		return nil, usageError{error: fmt.Errorf(
			"%s: found no --entry, expected the control address of an entry instance", command.Name())}
	}
	token := os.Getenv(tokenEnvVariable)
	if token == "" {
		return nil, usageError{error: fmt.Errorf(
			"%s: found no %s in the environment, expected a token", command.Name(), tokenEnvVariable)}
	}
	return mtoperator.NewClient(f.entry, token), nil
}

// status returns the status of the entry instance at the address in the flags.
func (f *operatorFlags) status(command *cobra.Command) (*entryv1.StatusResponse, error) {
	client, err := f.client(command)
	if err != nil {
		return nil, err
	}
	status, err := client.Status(command.Context())
	if err != nil {
		return nil, withoutCode(err)
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
		Args:    requireFiles,
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

// publishNew publishes records that are not in force yet. It publishes none of them when one differs from its version
// in force, so that it never overwrites an amendment that the operator has not seen.
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
		if !client.PrepareRecord(record, status.GetVersions()) && record.GetAmends() > 0 {
			failures = append(failures, fmt.Errorf("%s: version %d is in force and differs; use amend --version %d",
				mtrecord.Key(record), record.GetAmends(), record.GetAmends()))
		}
	}
	if err := errors.Join(failures...); err != nil {
		return err
	}
	return f.publish(command, records, status.GetVersions())
}

// publish publishes records one after the other, prints the result of each and stops at the first failure. Each record
// amends its version among versions, so a change that was published after these were read is refused, not overwritten.
func (f *operatorFlags) publish(
	command *cobra.Command, records []*recordv1.Record, versions []*recordv1.Version,
) error {
	client, err := f.client(command)
	if err != nil {
		return err
	}
	start := time.Now()
	lastOffset := uint64(0)
	for _, record := range records {
		if client.PrepareRecord(record, versions) {
			command.Printf("%s: unchanged\n", mtrecord.Key(record))
			continue
		}
		response, err := client.Publish(command.Context(), record)
		if err != nil {
			return withoutCode(err)
		}
		if !response.GetAccepted() {
			return fmt.Errorf("%s: an earlier change amended version %d, the present version is %d",
				mtrecord.Key(record), record.GetAmends(), response.GetVersion())
		}
		command.Printf("%s: version %d appended at offset %d\n",
			mtrecord.Key(record), response.GetVersion(), response.GetOffset())
		lastOffset = response.GetOffset()
	}
	if !f.wait {
		return nil
	}
	return f.waitInForce(command, client, lastOffset, start)
}

// waitInForce waits until the log up to an offset is in force at all instances, and prints the progress when it
// changes. The printed total time counts from start.
func (f *operatorFlags) waitInForce(
	command *cobra.Command, client *mtoperator.Client, offset uint64, start time.Time,
) error {
	waitContext, cancel := context.WithTimeout(command.Context(), waitTimeout)
	defer cancel()
	lastLine := ""
	err := client.WaitInForce(waitContext, offset, func(response *entryv1.ForceResponse) {
		line := fmt.Sprintf("in force on %d of %d", response.GetApplied(), response.GetTotal())
		if waiting := response.GetWaiting(); len(waiting) > 0 {
			line += ", waiting for " + strings.Join(waiting, ", ")
		}
		if line != lastLine {
			command.Println(line)
			lastLine = line
		}
	})
	if err != nil {
		return withoutCode(err)
	}
	command.Printf("in force everywhere after %s\n", time.Since(start).Round(time.Millisecond))
	return nil
}

// withoutCode strips the code from a connect error, whose message suffices for an operator.
func withoutCode(err error) error {
	var connectError *connect.Error
	if errors.As(err, &connectError) {
		return errors.New(connectError.Message())
	}
	return err
}
