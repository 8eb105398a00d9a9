"""The caller's side of the product's own interface."""
