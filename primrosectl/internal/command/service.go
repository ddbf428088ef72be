package command

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/juju/errors"
	"github.com/spf13/cobra"
	"google.golang.org/protobuf/encoding/protojson"

	pb "primrosespring.example/internal/gen/primrosespring/v1"
	"primrosespring.example/primrosectl/internal/instance"
)

// maxFileBytes limits a service file; the store accepts one megabyte for all
// services together.
const maxFileBytes = 1 << 20

func (a *app) serviceCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "service", Short: "Create, show, change and delete search services"}
	cmd.AddCommand(a.serviceCreate(), a.serviceUpdate(), a.serviceGet(), a.serviceList(), a.serviceDelete())

	return cmd
}

func (a *app) serviceCreate() *cobra.Command {
	var file string

	cmd := &cobra.Command{
		Use: "create --file FILE", Short: "Create a service from a JSON file (- for standard input)", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			svc, err := readService(cmd, file)
			if err != nil {
				return err
			}

			return a.change(cmd.Context(), "create service",
				func(ctx context.Context, admin instance.Admin, o *pb.ChangeOptions) (changeResponse, error) {
					return admin.CreateService(ctx, &pb.CreateServiceRequest{Service: svc, Options: o})
				})
		},
	}
	cmd.Flags().StringVarP(&file, "file", "f", "", "JSON file of the service")

	return a.changeFlags(cmd)
}

func (a *app) serviceUpdate() *cobra.Command {
	var file string

	cmd := &cobra.Command{
		Use: "update --file FILE", Args: cobra.NoArgs,
		Short: "Replace a service; the file must state the version that it is based on",
		RunE: func(cmd *cobra.Command, _ []string) error {
			svc, err := readService(cmd, file)
			if err != nil {
				return err
			}

			return a.updateService(cmd.Context(), svc)
		},
	}
	cmd.Flags().StringVarP(&file, "file", "f", "", "JSON file of the service")

	return a.changeFlags(cmd)
}

func (a *app) updateService(ctx context.Context, svc *pb.Service) error {
	return a.change(ctx, "update service",
		func(ctx context.Context, admin instance.Admin, o *pb.ChangeOptions) (changeResponse, error) {
			return admin.UpdateService(ctx, &pb.UpdateServiceRequest{Service: svc, Options: o})
		})
}

func (a *app) serviceGet() *cobra.Command {
	return &cobra.Command{
		Use: "get NAME", Short: "Show a service", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			svc, err := a.getService(cmd.Context(), args[0])
			if err != nil {
				return err
			}

			if a.output == "json" {
				return a.printJSON(svc)
			}

			return a.printService(svc)
		},
	}
}

func (a *app) getService(ctx context.Context, name string) (*pb.Service, error) {
	var svc *pb.Service

	err := a.call(ctx, "get service", func(ctx context.Context, admin instance.Admin) error {
		resp, err := admin.GetService(ctx, &pb.GetServiceRequest{Name: name})
		svc = resp.GetService()

		return err
	})

	return svc, err
}

func (a *app) serviceList() *cobra.Command {
	return &cobra.Command{
		Use: "list", Short: "List the services", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var resp *pb.ListServicesResponse

			err := a.call(cmd.Context(), "list services", func(ctx context.Context, admin instance.Admin) error {
				var err error

				resp, err = admin.ListServices(ctx, &pb.ListServicesRequest{})

				return err
			})
			if err != nil {
				return err
			}

			if a.output == "json" {
				return a.printJSON(resp)
			}

			return a.printServices(resp.GetServices())
		},
	}
}

func (a *app) serviceDelete() *cobra.Command {
	var version uint64

	cmd := &cobra.Command{
		Use: "delete NAME --version N", Short: "Delete a service if it has the given version", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if version == 0 {
				return fmt.Errorf("%w: --version must name the version to delete", errUsage)
			}

			return a.change(cmd.Context(), "delete service",
				func(ctx context.Context, admin instance.Admin, o *pb.ChangeOptions) (changeResponse, error) {
					return admin.DeleteService(ctx, &pb.DeleteServiceRequest{Name: args[0], Version: version, Options: o})
				})
		},
	}
	cmd.Flags().Uint64Var(&version, "version", 0, "version of the service to delete")

	return a.changeFlags(cmd)
}

// readService reads a service in JSON and refuses unknown fields.
func readService(cmd *cobra.Command, file string) (*pb.Service, error) {
	if file == "" {
		return nil, fmt.Errorf("%w: --file must be given", errUsage)
	}

	in := cmd.InOrStdin()

	if file != "-" {
		f, err := os.Open(file)
		if err != nil {
			return nil, errors.Annotate(err, "open service file")
		}
		defer func() { _ = f.Close() }()

		in = f
	}

	data, err := io.ReadAll(io.LimitReader(in, maxFileBytes))
	if err != nil {
		return nil, errors.Annotate(err, "read service file")
	}

	svc := &pb.Service{}
	if err := protojson.Unmarshal(data, svc); err != nil {
		return nil, errors.Annotatef(err, "decode service file %s", file)
	}

	return svc, nil
}
