"""The operator's YAML file: one section for each optional subsystem, which is not imported without it."""
