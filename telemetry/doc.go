package telemetry
