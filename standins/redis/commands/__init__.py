"""Commands that read or change data: one module for each family of commands, and a type of command table."""
