"""The operator's YAML file: one section for each subsystem, which is off and not imported without it."""
