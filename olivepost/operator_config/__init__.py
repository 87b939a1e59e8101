"""The operator's YAML file, with one section for each optional subsystem.

If no such file is named, no optional subsystem is imported.
"""
