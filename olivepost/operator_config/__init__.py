"""The operator's YAML file: one section a subsystem, off without it; nothing here is imported then."""
