"""Commands on data, with one module for each family of commands, and their table."""
