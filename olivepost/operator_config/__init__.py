"""The operator's YAML file: one section for each optional subsystem; none is imported without the file."""
