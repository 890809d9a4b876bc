package cli

import (
	"context"

	"github.com/integrii/flaggy"

	"marjoramshore.example/capacity/report"
)

func capacityCommand() command {
	var options report.Options
	sub := flaggy.NewSubcommand("capacity")
	sub.Description = "Print what each role costs at the expected size, from recorded or newly measured slopes."
	sub.Bool(&options.Measure, "", "measure", "Measure the slopes on this host instead of using the recorded ones.")
	sub.String(&options.OnlySlope, "", "only", "Print only the slope of this name.")
	sub.String(&options.RecordFile, "", "record", "Write the slopes to this JSON file.")
	sub.String(&options.PageFile, "", "page", "Replace the generated tables in this page.")
	return command{sub, func(_ context.Context, out streams) int {
		if err := report.Run(out.stdout, options); err != nil {
			return out.fail(exitFailure, err)
		}
		return exitOK
	}}
}
