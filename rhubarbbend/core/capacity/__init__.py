"""What targets can do now, from what they report of themselves."""

from rhubarbbend.core.capacity._reports import ReportedLoad

__all__ = ["ReportedLoad"]
