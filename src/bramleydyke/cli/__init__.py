"""The ``bramleydyke`` command."""
