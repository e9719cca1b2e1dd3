"""What builds and checks the product; not shipped."""
