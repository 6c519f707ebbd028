"""Small stand-ins for the outside systems: platform, fabric, upstream."""
