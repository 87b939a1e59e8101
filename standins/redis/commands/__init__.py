"""Commands on data, a module for each family, and their table."""
