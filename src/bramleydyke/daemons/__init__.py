"""Programs: one role each with its adapters."""
