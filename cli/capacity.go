package cli

import (
	"context"

	"github.com/integrii/flaggy"

	"marjoramshore.example/capacity/report"
)

func capacityCommand() command {
	var o report.Options
	sub := flaggy.NewSubcommand("capacity")
	sub.Description = "Print what each role costs at the expected size, from recorded or new slopes."
	sub.Bool(&o.Measure, "", "measure", "Measure the slopes on this machine.")
	sub.String(&o.OnlySlope, "", "only", "Print one slope.")
	sub.String(&o.RecordFile, "", "record", "Write the slopes to this file.")
	sub.String(&o.PageFile, "", "page", "Renew the tables in this page.")
	return command{sub, func(_ context.Context, out output) int {
		if err := report.Run(out.out, o); err != nil {
			return out.fail(exitFail, err)
		}
		return exitOK
	}}
}
