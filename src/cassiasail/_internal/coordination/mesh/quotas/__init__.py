"""Quotas of client accounts that hold over all daemons together."""
