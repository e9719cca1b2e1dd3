"""Tools that build and check the product. They are not shipped with it."""
