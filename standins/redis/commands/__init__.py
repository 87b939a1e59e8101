"""The commands on data, a module for each family."""
