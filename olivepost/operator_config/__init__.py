"""The operator's YAML file: one section for each subsystem, which is off without it and is not imported then."""
