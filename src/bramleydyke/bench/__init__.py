"""Measurements of the system; ``python -m bramleydyke.bench`` runs all."""
