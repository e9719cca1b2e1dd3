"""Small stand-ins of the systems around the fleet, each its own program; not shipped.

`python -m standins platform|engine|plain|proxy|tables|worker --port N ...` starts one. Each prints
one line, `ready HOST PORT`, once it listens, and has an `/admin/` interface for faults and figures.
"""
