"""Commands that run and operate bramleydyke, built on click."""
