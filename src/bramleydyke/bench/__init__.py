"""Measurements that ``make bench`` runs, each as a ``measure`` function."""
