"""Measurements of cost and balance."""
