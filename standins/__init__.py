"""Stand-ins: small fake servers for the systems that the fleet talks to. Test code, not shipped.

Each stand-in runs as its own process: `python -m standins KIND --port N ...`, where KIND is
`platform`, `engine`, `plain`, `proxy`, `tables` or `worker`. It prints one line,
`ready HOST PORT`, once it listens. Tests inject faults and read statistics through HTTP requests
below `/admin/`.
"""
